#include "published_state.h"

#include "objects/bundle.h"
#include "wire/vm_list.h"

namespace trefoil {

published_state::published_state(const settings& s, node_views& views, membership_monitor& members,
                                 once_guard& once, admission_gate& gate, metrics& counters,
                                 change_log& log)
    : settings_(s), views_(views), members_(members), once_(once), gate_(gate), metrics_(counters),
      log_(log), gossip_({s.vm, s.availability_zone}, boot_clock::now())
{
}

void published_state::offer_config(config_version version, std::optional<content_digest> stated,
                                   const std::string& text, version_source source)
{
    const auto result = accept_config(version, stated, text, source);
    count("config", result);
    if (result == version_result::accepted && listeners_.changed) {
        listeners_.changed();
    }
}

version_result published_state::accept_config(config_version version,
                                              std::optional<content_digest> stated,
                                              const std::string& text, version_source source)
{
    const std::lock_guard lock(mutex_);
    if (version <= gossip_.config().in_force()) {
        return version_result::older;
    }
    std::shared_ptr<const runtime_config> config;
    try {
        auto candidate = parse_bundle(text);
        if (candidate.version != version || !may_follow(candidate, bundle_in_force_)) {
            refuse_config(version, text,
                          "its version differs from the announced one, or it does not follow the "
                          "bundle in force");
            return version_result::invalid;
        }
        config = std::make_shared<runtime_config>(std::move(candidate), settings_.service);
    }
    catch (const error& e) {
        refuse_config(version, text, e.what());
        return version_result::invalid;
    }
    const auto actual = digest_of(text);
    const auto result =
        gossip_.offer_config(version, stated.value_or(actual), actual, source, boot_clock::now());
    if (result != version_result::accepted) {
        return result;
    }
    log_.record("config_accepted", "bundle", std::to_string(bundle_in_force_.version.value),
                to_string(config->source().id()),
                source == version_source::platform ? "platform" : "peer");
    config_text_ = text;
    bundle_in_force_ = config->source().id();
    gate_.set_policy(config->policy(), boot_clock::now());
    members_.set_called_services(config->called_services());
    views_.config.set(config);
    return result;
}

void published_state::refuse_config(config_version version, const std::string& text,
                                    const std::string& reason)
{
    gossip_.refuse_config(version, digest_of(text));
    log_.record("config_refused", "bundle", std::to_string(bundle_in_force_.version.value),
                std::to_string(version.value), reason);
}

void published_state::offer_list(list_revision revision, std::optional<content_digest> stated,
                                 const std::string& text, version_source source)
{
    vm_list list;
    try {
        list = parse_vm_list(text);
        if (list.revision != revision) {
            throw invalid_vm_list("its revision differs from the announced revision");
        }
    }
    catch (const invalid_vm_list& e) {
        log_.record("list_refused", "vm_list", "", std::to_string(revision.value), e.what());
        count("list", version_result::invalid);
        const std::lock_guard lock(mutex_);
        gossip_.refuse_list(revision, digest_of(text));
        return;
    }
    const auto result = accept_list(list, stated, text, source);
    count("list", result);
    const bool usable = result == version_result::accepted || result == version_result::waiting;
    if (usable && listeners_.list_received) {
        listeners_.list_received(list);
    }
    if (result == version_result::accepted && listeners_.changed) {
        listeners_.changed();
    }
}

version_result published_state::accept_list(const vm_list& list,
                                            std::optional<content_digest> stated,
                                            const std::string& text, version_source source)
{
    const std::lock_guard lock(mutex_);
    const auto actual = digest_of(text);
    const auto before = gossip_.list().in_force();
    const auto result = gossip_.offer_list(list.revision, stated.value_or(actual), actual, source,
                                           boot_clock::now());
    if (result != version_result::accepted) {
        return result;
    }
    log_.record("list_accepted", "vm_list", std::to_string(before.value),
                std::to_string(list.revision.value),
                source == version_source::platform ? "platform" : "peer");
    list_text_ = text;
    once_.update_list(list, boot_clock::now());
    views_.list.set(std::make_shared<list_snapshot>(list));
    members_.apply_list(list);
    return result;
}

std::optional<std::chrono::nanoseconds> published_state::contact_age() const
{
    const std::lock_guard lock(mutex_);
    return gossip_.watcher().contact_age(boot_clock::now());
}

published_text<config_version> published_state::config() const
{
    const std::lock_guard lock(mutex_);
    return {gossip_.config().in_force(), gossip_.config().digest(), config_text_};
}

published_text<list_revision> published_state::list() const
{
    const std::lock_guard lock(mutex_);
    return {gossip_.list().in_force(), gossip_.list().digest(), list_text_};
}

config_version published_state::watch_config_after() const
{
    const std::lock_guard lock(mutex_);
    return gossip_.config().watch_after();
}

list_revision published_state::watch_list_after() const
{
    const std::lock_guard lock(mutex_);
    return gossip_.list().watch_after();
}

void published_state::count(const char* value, version_result result)
{
    metrics_.add("trefoil_published_total{value=\"" + std::string(value) + "\",verdict=\"" +
                 std::string(to_string(result)) + "\"}");
}

} // namespace trefoil
