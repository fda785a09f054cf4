#include "spread/gossip_state.h"

#include <utility>

namespace trefoil {

namespace {

/// Whether the sender offers the highest known version and this node lacks it.
template<class Version>
bool should_fetch(const version_guard<Version>& guard, Version offered, mono_time now)
{
    return guard.is_behind(now) && offered == guard.highest_known(now);
}

} // namespace

gossip_state::gossip_state(gossip_member self, mono_time started, gossip_options options)
    : options_(options), config_(started, options.guard), list_(started, options.guard),
      watcher_(self, started, options.watcher), picker_(std::move(self.name))
{
}

void gossip_state::set_seeds(shared_members seeds)
{
    picker_.set_members(std::move(seeds));
}

void gossip_state::set_members(shared_members members)
{
    watcher_.set_members(*members);
    picker_.set_members(std::move(members));
}

void gossip_state::fill_versions(exchange_message& message, mono_time now) const
{
    message.config = config_.in_force();
    message.config_digest = config_.digest();
    message.list = list_.in_force();
    message.list_digest = list_.digest();
    const auto age = watcher_.contact_age(now);
    message.contact_age.reset();
    if (age) {
        // Rounded up, so that the age does not decrease when it is forwarded many times.
        message.contact_age = std::chrono::ceil<std::chrono::milliseconds>(*age);
    }
}

fetch_plan gossip_state::request_received(const exchange_message& request, mono_time now)
{
    return received(request, options_.assumed_transit, now);
}

fetch_plan gossip_state::result_received(const exchange_message& result, mono_time sent,
                                         mono_time now)
{
    return received(result, now - sent, now);
}

fetch_plan gossip_state::received(const exchange_message& message, std::chrono::nanoseconds transit,
                                  mono_time now)
{
    config_.peer_reported(message.config, message.config_digest, now);
    list_.peer_reported(message.list, message.list_digest, now);
    if (message.contact_age) {
        watcher_.contact_reported(*message.contact_age + transit, now);
    }
    return {should_fetch(config_, message.config, now), should_fetch(list_, message.list, now)};
}

version_result gossip_state::offer_config(config_version version, content_digest stated,
                                          content_digest actual, version_source source,
                                          mono_time now)
{
    const auto result = config_.offer(version, stated, actual, source, now);
    push_due_ = push_due_ || result == version_result::accepted;
    return result;
}

version_result gossip_state::offer_list(list_revision revision, content_digest stated,
                                        content_digest actual, version_source source, mono_time now)
{
    const auto result = list_.offer(revision, stated, actual, source, now);
    push_due_ = push_due_ || result == version_result::accepted;
    return result;
}

void gossip_state::refuse_config(config_version version, content_digest digest)
{
    config_.refuse(version, digest);
}

void gossip_state::refuse_list(list_revision revision, content_digest digest)
{
    list_.refuse(revision, digest);
}

std::vector<vm_name> gossip_state::take_push_targets(random_source& random)
{
    if (!std::exchange(push_due_, false)) {
        return {};
    }
    return picker_.push_targets(random, options_.push_count);
}

std::vector<vm_name> gossip_state::pull_targets(random_source& random)
{
    // A starting node must know the newest version before it trusts the platform. It asks several
    // peers, so that one lost message or one outdated peer is not enough to mislead it.
    if (is_starting()) {
        return picker_.push_targets(random, options_.push_count);
    }
    const auto target = picker_.pull_target(random);
    return target ? std::vector{*target} : std::vector<vm_name>{};
}

std::chrono::nanoseconds gossip_state::pull_interval(mono_time now) const noexcept
{
    const bool is_fast = is_starting() || config_.is_behind(now) || list_.is_behind(now);
    return is_fast ? options_.fast_pull_interval : options_.pull_interval;
}

bool gossip_state::is_starting() const noexcept
{
    return config_.state() == version_state::starting || list_.state() == version_state::starting;
}

} // namespace trefoil
