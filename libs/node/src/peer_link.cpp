#include "peer_link.h"

#include "base/log_event.h"

#include <gsl/util>

#include <algorithm>

namespace trefoil {

namespace {

constexpr std::chrono::milliseconds exchange_interval{1000};
/// An exchange step that is late by more than this indicates that the process was paused.
constexpr std::chrono::milliseconds pause_threshold{1500};
constexpr std::size_t peer_workers = 3;
/// Lease calls have their own threads and a short timeout: unanswered calls to dead peers must not
/// delay calls to live ones beyond the time for which a grant is valid.
constexpr std::size_t lease_workers = 8;
constexpr std::chrono::milliseconds lease_timeout{250};
constexpr std::size_t max_queued_jobs = 64;

} // namespace

peer_link::peer_link(const settings& s, vm_incarnation incarnation, node_views& views,
                     membership_monitor& members, once_guard& once, crash_suspects& suspects,
                     published_state& published, metrics& counters, change_log& log)
    : settings_(s), incarnation_(incarnation), views_(views), members_(members), once_(once),
      suspects_(suspects), published_(published), metrics_(counters), log_(log),
      lease_client_({.timeout = lease_timeout}), last_step_(boot_clock::now()),
      guard_({.cluster = s.cluster}), random_(std::random_device{}())
{
}

peer_link::~peer_link() = default;

void peer_link::start()
{
    workers_ = std::make_unique<worker_pool>(peer_workers, max_queued_jobs);
    lease_workers_ = std::make_unique<worker_pool>(lease_workers, max_queued_jobs);
    exchanges_ = std::make_unique<periodic_thread>([this] { return exchange_step(); });
    leases_ = std::make_unique<periodic_thread>([this] { return lease_step(); });
}

void peer_link::schedule_push()
{
    published_.with_spread([](gossip_state& gossip) { gossip.request_push(); });
    if (exchanges_) {
        exchanges_->wake();
    }
}

std::chrono::nanoseconds peer_link::exchange_step()
{
    detect_pause();
    members_.tick();
    log_.record(suspects_.expire(boot_clock::now()));
    const auto now = boot_clock::now();
    auto peers = published_.with_spread([this](gossip_state& gossip) {
        const std::lock_guard lock(mutex_);
        return gossip.take_push_targets(random_);
    });
    const auto interval =
        published_.with_spread([now](gossip_state& gossip) { return gossip.pull_interval(now); });
    if (now - last_pull_ >= interval) {
        last_pull_ = now;
        const auto pulled = published_.with_spread([this](gossip_state& gossip) {
            const std::lock_guard lock(mutex_);
            return gossip.pull_targets(random_);
        });
        peers.insert(peers.end(), pulled.begin(), pulled.end());
    }
    for (const auto& peer : peers) {
        schedule_exchange(peer);
    }
    return interval;
}

void peer_link::schedule_exchange(const vm_name& peer)
{
    workers_->post([this, peer] { exchange_with(peer); });
}

void peer_link::detect_pause()
{
    const auto now = boot_clock::now();
    if (now - last_step_ > exchange_interval + pause_threshold) {
        members_.pause_detected();
    }
    last_step_ = now;
}

void peer_link::announce_leaving()
{
    const auto list = views_.list.get();
    if (!list) {
        return;
    }
    for (const auto& vm : list->list.of_service(settings_.service)) {
        if (vm.name != settings_.vm) {
            try {
                exchange_with(vm.name);
            }
            catch (const peer_call_failed& e) {
                log_event("leaving_not_announced")
                    .add("vm", vm.name)
                    .add("detail", e.what())
                    .info();
            }
        }
    }
}

void peer_link::exchange_with(const vm_name& peer)
{
    const auto endpoint = endpoint_of(peer);
    if (!endpoint) {
        return;
    }
    const auto sent = boot_clock::now();
    const auto result = client_.exchange(*endpoint, own_message());
    apply_message(result);
    members_.refreshed();
    const auto plan = published_.with_spread([&](gossip_state& gossip) {
        return gossip.result_received(result, sent, boot_clock::now());
    });
    fetch(peer, plan);
}

void peer_link::fetch(const vm_name& peer, const fetch_plan& plan)
{
    const auto endpoint = endpoint_of(peer);
    if (!endpoint) {
        return;
    }
    // One fetch at a time, since several peers report the same new version within one round trip.
    if (plan.config && !fetching_config_.exchange(true)) {
        const auto done = gsl::finally([this] { fetching_config_ = false; });
        const auto held = published_.config().version;
        const auto fetched = client_.fetch_config(*endpoint, {next_header(), held});
        if (fetched.version > held) {
            published_.offer_config(fetched.version, fetched.digest, fetched.text,
                                    version_source::peer);
        }
    }
    if (plan.list && !fetching_list_.exchange(true)) {
        const auto done = gsl::finally([this] { fetching_list_ = false; });
        const auto held = published_.list().version;
        const auto fetched = client_.fetch_list(*endpoint, {next_header(), held});
        if (fetched.revision > held) {
            published_.offer_list(fetched.revision, fetched.digest, fetched.text,
                                  version_source::peer);
        }
    }
}

std::chrono::nanoseconds peer_link::lease_step()
{
    std::uint64_t random = 0;
    {
        const std::lock_guard lock(mutex_);
        random = random_();
    }
    const auto now = boot_clock::now();
    for (const auto& call : once_.poll(now, wall_now(), random)) {
        lease_workers_->post([this, call] { request_grant(call); });
    }
    return once_.poll_interval();
}

void peer_link::request_grant(const lease_call& call)
{
    const auto endpoint = endpoint_of(call.peer);
    if (!endpoint) {
        return;
    }
    const auto result =
        lease_client_.grant_lease(*endpoint, {next_header(), settings_.service, call.request});
    const auto now = boot_clock::now();
    once_.receive(call, result.grant, now, wall_now());
    if (once_.revision_to_fetch() > published_.list().version) {
        workers_->post([this, peer = call.peer] { fetch(peer, {.config = false, .list = true}); });
    }
}

void peer_link::apply_message(const exchange_message& message)
{
    const vm_incarnation sender{message.header.incarnation};
    members_.incarnation_seen(message.header.from, sender);
    member_report report{message.header.from, sender, {}, message.suspected};
    for (const auto& leaving : message.leaving) {
        report.leaving.push_back({leaving.vm, {leaving.incarnation}});
    }
    members_.peer_reported(report);
    const auto crashes = suspects_.merge(message.header.from, message.crashes, boot_clock::now());
    log_.record(crashes);
    if (!crashes.empty()) {
        schedule_push(); // A quarantine must reach peers before the callers' repeated sends do.
    }
}

exchange_message peer_link::own_message()
{
    exchange_message message;
    message.header = next_header();
    published_.with_spread([&](gossip_state& gossip) {
        gossip.fill_versions(message, boot_clock::now());
        return 0;
    });
    const auto report = members_.report();
    for (const auto& leaving : report.leaving) {
        message.leaving.push_back({leaving.vm, leaving.incarnation.value});
    }
    message.suspected = report.suspected;
    message.crashes = suspects_.reports(exchange_message::max_crash_reports, boot_clock::now());
    return message;
}

message_header peer_link::next_header()
{
    message_header header;
    header.cluster = settings_.cluster;
    header.from = settings_.vm;
    header.incarnation = incarnation_.value;
    header.sequence = ++sequence_;
    return header;
}

std::optional<peer_endpoint> peer_link::endpoint_of(const vm_name& vm) const
{
    auto list = views_.list.get();
    if (!list) {
        const std::lock_guard lock(mutex_);
        list = received_list_;
    }
    const auto* entry = list ? list->find(vm) : nullptr;
    return entry != nullptr ? std::optional(peer_endpoint{entry->address, entry->control_port})
                            : std::nullopt;
}

void peer_link::set_members(const vm_list& list)
{
    std::vector<vm_name> names;
    auto members = std::make_shared<gossip_members>();
    for (const auto& vm : list.vms) {
        names.push_back(vm.name);
        if (vm.state == vm_state::live) {
            members->push_back({vm.name, vm.availability_zone});
        }
    }
    auto snapshot = std::make_shared<list_snapshot>(list);
    published_.with_spread([&](gossip_state& gossip) { gossip.set_members(std::move(members)); });
    const std::lock_guard lock(mutex_);
    guard_.set_members(names);
    received_list_ = std::move(snapshot);
}

std::optional<rpc_refusal> peer_link::admit(const message_header& header, std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    const auto reason = guard_.check(header, bytes);
    if (!reason) {
        return std::nullopt;
    }
    metrics_.add("trefoil_messages_refused_total{reason=\"" + std::string(to_string(*reason)) +
                 "\"}");
    const auto list = views_.list.get();
    return rpc_refusal{*reason, list ? list->list.revision : list_revision{}};
}

std::uint64_t peer_link::refused_messages() const
{
    const std::lock_guard lock(mutex_);
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < message_refusal_count; ++i) {
        total += guard_.refused(static_cast<message_refusal>(i));
    }
    return total;
}

rpc_handlers peer_link::handlers()
{
    rpc_handlers h;
    h.admit = [this](const message_header& header, std::size_t bytes) {
        return admit(header, bytes);
    };
    h.malformed = [this] {
        const std::lock_guard lock(mutex_);
        guard_.count_malformed();
    };
    h.exchange = [this](const exchange_message& message) {
        apply_message(message);
        const auto plan = published_.with_spread([&](gossip_state& gossip) {
            return gossip.request_received(message, boot_clock::now());
        });
        if (plan.config || plan.list) {
            // A handler must not block on a call to a peer.
            workers_->post([this, peer = message.header.from, plan] { fetch(peer, plan); });
        }
        return own_message();
    };
    h.fetch_config = [this](const fetch_config_request& request) {
        auto config = published_.config();
        const bool newer = config.version > request.held;
        return fetch_config_result{config.version, config.digest, newer ? config.text : ""};
    };
    h.fetch_list = [this](const fetch_list_request& request) {
        auto list = published_.list();
        const bool newer = list.version > request.held;
        return fetch_list_result{list.version, list.digest, newer ? list.text : ""};
    };
    h.grant_lease = [this](const grant_lease_request& request) {
        grant_lease_result result;
        if (request.service == settings_.service) {
            result.grant = once_.grant(request.grant, boot_clock::now());
            if (once_.revision_to_fetch() > published_.list().version) {
                workers_->post([this, peer = request.header.from] {
                    fetch(peer, {.config = false, .list = true});
                });
            }
        }
        return result;
    };
    return h;
}

} // namespace trefoil
