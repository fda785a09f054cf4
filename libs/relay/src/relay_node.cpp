#include "relay/relay_node.h"

#include "acceptor.h"
#include "call_forwarder.h"
#include "caller_session.h"
#include "connection_guard.h"
#include "crash_exchange.h"
#include "deadline_queue.h"
#include "http_text.h"
#include "local_target.h"
#include "peer_session.h"
#include "session_set.h"

#include "base/log_event.h"
#include "dispatch/drain_rule.h"
#include "metrics/metrics.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <malloc.h>

namespace trefoil {

namespace {

/// Interval between checks of idle connections, memory and unconfirmed targets.
constexpr std::chrono::milliseconds sweep_interval{500};

/// Minimum time from the start of a drain to the end of the process. Callers stop sending requests
/// after two readiness checks, one second apart, have failed.
constexpr std::chrono::milliseconds min_drain_time{2300};

/// Time from the start of a drain during which other nodes still use the target, which keeps
/// running. The rest of the minimum drain time is longer than most requests take.
constexpr std::chrono::milliseconds target_use_time{1500};

/// Retry delay sent to callers of a node that is about to restart.
constexpr std::chrono::milliseconds restart_retry_delay{1000};

/// A drain may end once no request has been in progress for this long.
constexpr std::chrono::milliseconds min_idle_time{150};

constexpr std::chrono::milliseconds drain_check_interval{50};

/// A sweep that is late by more than this is logged: meanwhile the process was paused, or was given
/// no processor time.
constexpr std::chrono::milliseconds stall_threshold{250};

constexpr const char* metrics_path = "/metrics";

/// Returns the nodes of the targets without duplicates. A node is named by its address, the only
/// name for it in target entries.
gossip_members members_of(const std::vector<target_entry>& entries)
{
    std::map<std::string, availability_zone_name> zones;
    for (const auto& entry : entries) {
        if (!entry.leaving) {
            zones.emplace(entry.address, entry.zone);
        }
    }
    gossip_members members;
    members.reserve(zones.size());
    for (const auto& [address, zone] : zones) {
        members.push_back({vm_name(address), zone});
    }
    return members;
}

/// Divisor of the memory for the limit of unread answers. Each session_set has a limit of its own:
/// answers buffered for slow callers may use 1/4 of the memory, and those for slow peers another
/// 1/4.
constexpr std::size_t buffered_answers_divisor = 4;

/// Divisor of the memory for the limit of partially read messages. Each session_set has a limit of
/// its own: requests of all callers may use 1/8 of the memory, and messages of peers another 1/8. A
/// request exists twice in memory while it is forwarded.
constexpr std::size_t partial_requests_divisor = 8;

/// Divisor of the memory for the limit of all bytes that the process holds for its connections. The
/// rest is for the program, its state and what the allocator cannot reuse.
constexpr std::size_t held_divisor = 2;

/// Divisor of the memory for what the largest permitted request leaves of that limit to others.
constexpr std::size_t held_reserve_divisor = 16;

/// Divisor of the memory for the limit of large bodies of requests in progress, as a multiple.
constexpr std::size_t accepted_multiple = 3;
constexpr std::size_t accepted_divisor = 8;

/// Divisor of the number of connections for those that only wait for the peer to close them.
constexpr std::size_t lingering_divisor = 8;

/// Lets the allocator return large buffers to the system as soon as they are freed. By default
/// glibc keeps up to 64 MiB of them, which the account of the node does not see.
void return_freed_memory()
{
    constexpr int large_block_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    mallopt(M_TRIM_THRESHOLD, large_block_bytes);
}

std::shared_ptr<connection_resources> resources_for(const relay_settings& s)
{
    auto resources = std::make_shared<connection_resources>();
    resources->memory = std::make_shared<memory_account>(s.memory_bytes / held_divisor);
    resources->max_lingering = s.max_connections / lingering_divisor;
    return resources;
}

} // namespace

class relay_node::impl {
public:
    impl(asio::io_context& c, relay_settings s)
        : context(c), settings(std::move(s)), resources(resources_for(settings)), deadlines(c),
          crashes(deadlines, crash_callbacks()),
          local(c, resources, deadlines, settings.upstream, settings.headers,
                answer_limits::for_memory(settings.memory_bytes), levels, log, crashes),
          forwarder(c, resources, deadlines, settings, targets, local, levels, crashes, log,
                    counters, link_handlers()),
          outbound(c, settings.outbound,
                   [this](tcp::socket socket) { accept_caller(std::move(socket)); }),
          inbound(c, settings.inbound,
                  [this](tcp::socket socket) { accept_peer(std::move(socket)); }),
          ready(c, settings.ready, [this](tcp::socket socket) { accept_probe(std::move(socket)); })
    {
        return_freed_memory();
        resources->enforce = [this] { guard.enforce_memory(); };
    }

    ~impl() { resources->enforce = nullptr; }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    peer_link::handlers link_handlers()
    {
        return {[] {}, exchange_handlers(), content_handler(), [](std::size_t) {}, [] {}};
    }

    crash_exchange::callbacks crash_callbacks()
    {
        return {[this] { return members_of(targets.entries()); },
                [this](const std::string& address, std::string bytes) {
                    forwarder.links().link_to(address)->send_control(std::move(bytes));
                },
                settings.inbound.address().to_string()};
    }

    std::function<std::optional<std::string>(const raw_node_message&)> content_handler()
    {
        return [this](const raw_node_message& message) { return crashes.reply_to(message); };
    }

    state_handlers exchange_handlers()
    {
        return {[this] { return exchange.own_version(); },
                [this](const state_version& version) { return exchange.peer_version(version); },
                [this](const state_message& state) { return receive_state(state); },
                [this](const published_version& known, config_version config) {
                    return message_of(exchange.changes_since(known, config));
                },
                [this] { return exchange.own_config(); }};
    }

    void accept_caller(tcp::socket socket)
    {
        const auto session = std::make_shared<caller_session>(std::move(socket), resources,
                                                              settings.headers, limits);
        callers.add(session);
        if (!guard.admit(session, local.load().limit)) {
            callers.remove(session);
            session->close();
            return;
        }
        session->start({// NOLINTNEXTLINE(performance-unnecessary-value-param)
                        [this](const auto& s, relay_request request) {
                            if (rejects_new(request)) {
                                return reject_draining(s, request);
                            }
                            forwarder.handle(s, std::move(request));
                        },
                        [this](const auto& s) {
                            // A request that is still being read has not run, so it may be
                            // rejected to free memory.
                            callers.record_partial(*s, s->request_bytes(),
                                                   s->is_busy() ? byte_account::closing::never
                                                                : byte_account::closing::allowed);
                        },
                        [this](const auto& s) { forwarder.caller_disconnected(s); },
                        [this](const auto& s) { callers.remove(s); }});
    }

    /// Sets the memory limits for requests. The largest request that a caller may send is accepted
    /// even if the memory is small.
    void bound_requests()
    {
        const auto largest = limits.max_header_bytes + limits.max_body_bytes;
        const auto memory = settings.memory_bytes;
        const auto largest_read = largest + memory / held_reserve_divisor;
        callers.set_max_partial_bytes(std::max(memory / partial_requests_divisor, largest_read));
        peers.set_max_partial_bytes(std::max(memory / partial_requests_divisor, largest_read));
        forwarder.set_max_accepted_bytes(
            std::max(memory / accepted_divisor * accepted_multiple, largest));
        resources->memory->set_limit(std::max(memory / held_divisor, largest_read));
    }

    void accept_probe(tcp::socket socket)
    {
        const auto session = std::make_shared<caller_session>(std::move(socket), resources,
                                                              settings.headers, limits);
        probes.insert(session);
        if (!guard.admit(session, local.load().limit)) {
            probes.erase(session);
            session->close();
            return;
        }
        session->start({[this](const auto& s, const relay_request& request) {
                            s->answer(page(request.target), true);
                        },
                        [](const auto&) {}, [](const auto&) {},
                        [this](const auto& s) { probes.erase(s); }});
    }

    /// Serves the readiness check of the platform and the metrics page.
    relay_answer page(const std::string& path)
    {
        if (path == settings.ready_path) {
            return {is_ready() ? 200U : 503U, {}, {}, {}};
        }
        if (path == metrics_path) {
            const auto load = local.load();
            counters.set("trefoil_target_running", load.running);
            counters.set("trefoil_target_waiting", load.waiting);
            counters.set("trefoil_target_slots", load.limit);
            counters.set("trefoil_admit_level", local.level());
            counters.set("trefoil_targets_known", static_cast<double>(targets.size()));
            counters.set("trefoil_crash_contents_known", static_cast<double>(crashes.known()));
            counters.set("trefoil_crash_contents_suspect", static_cast<double>(crashes.suspects()));
            counters.set("trefoil_held_bytes", static_cast<double>(resources->memory->total()));
            counters.set("trefoil_open_connections", static_cast<double>(resources->open));
            counters.set("trefoil_log_lines_dropped", static_cast<double>(log.dropped()));
            return {200U, header_line("Content-Type", "text/plain"), counters.text(), {}};
        }
        return {404U, {}, {}, {}};
    }

    void accept_peer(tcp::socket socket)
    {
        const auto session = std::make_shared<peer_session>(std::move(socket), resources);
        peers.add(session);
        session->start({// The call is moved on, which clang-tidy 14 does not see.
                        // NOLINTNEXTLINE(performance-unnecessary-value-param)
                        [this](const auto& s, const std::string& service, call_message call) {
                            const std::weak_ptr<peer_session> weak = s;
                            return local.offer(std::move(call), service,
                                               [weak](const answer_message& answer) {
                                                   if (const auto peer = weak.lock()) {
                                                       peer->answer(answer);
                                                   }
                                               });
                        },
                        [this](std::uint64_t ticket) { local.cancel(ticket); },
                        [this](const auto& s) {
                            if (exchange.own_version().version.revision == 0) {
                                s->request_state();
                            }
                        },
                        exchange_handlers(), content_handler(),
                        [this](const auto& s, std::size_t bytes) {
                            peers.record_partial(*s, bytes, byte_account::closing::allowed);
                        },
                        [this](const auto& s) { peers.remove(s); }});
        if (target_closed) {
            session->send_leaving();
        }
    }

    state_message message_of(const published_changes& changes) const
    {
        state_message state;
        state.version = wire_state_version({changes.version, exchange.own_version().contact_age});
        state.base = changes.base;
        state.confirmation_time_left_ms =
            static_cast<std::uint32_t>(changes.confirmation_time_left.count());
        for (const auto& item : changes.items) {
            // Peers keep the last value of a removed item themselves.
            state.items.push_back(
                {item.key, item.removed ? std::string() : item.value, item.revision, item.removed});
        }
        for (const auto& item : changes.retained) {
            state.retained.push_back({item.key, item.value, item.revision, item.removed});
        }
        state.retained_config = changes.retained_config.value;
        state.digest = changes.digest.value;
        state.has_all_removals = changes.has_all_removals;
        return state;
    }

    state_need receive_state(const state_message& state) const
    {
        exchange.peer_version(state.version.version());
        published_changes changes{state.base,
                                  state.version.version().version,
                                  {},
                                  std::chrono::milliseconds(state.confirmation_time_left_ms)};
        for (const auto& item : state.items) {
            changes.items.push_back({item.key, item.value, item.revision, item.removed});
        }
        for (const auto& item : state.retained) {
            changes.retained.push_back({item.key, item.value, item.revision, item.removed});
        }
        changes.retained_config = config_version{state.retained_config};
        changes.digest = content_digest{state.digest};
        changes.has_all_removals = state.has_all_removals;
        return exchange.received(changes);
    }

    void set_identity_source(const traffic_config& config)
    {
        const auto path = config.status_paths.find(settings.service);
        local.set_identity_source({path == config.status_paths.end() ? std::string() : path->second,
                                   settings.service, [this](const std::string& id) {
                                       // An address may be reused by another service.
                                       const auto known = targets.find(id);
                                       return !known || known->entry.service == settings.service;
                                   }});
    }

    bool rejects_new(const relay_request& request) const
    {
        if (!drain) {
            return false;
        }
        const auto deadline = forwarder.deadline_of(request);
        return local.runs().is_call(request.id) ? !drain->accepts_call(deadline)
                                                : !drain->accepts(request.arrived, deadline);
    }

    void reject_draining(const std::shared_ptr<caller_session>& session,
                         const relay_request& request)
    {
        if (log.begin(request.arrived)) {
            log.write(log_event("call_refused").add("id", request.id).add("reason", "draining"));
        }
        auto answer = not_run_answer(restart_retry_delay);
        answer.headers += header_line(settings.headers.request_id, request.id);
        session->answer(answer, false);
    }

    bool is_ready() const { return !drain && forwarder.routes() != nullptr; }

    void sweep()
    {
        const auto now = boot_clock::now();
        if (now - next_sweep > stall_threshold) {
            log_event("process_stalled")
                .add("ms", (now - next_sweep) / std::chrono::milliseconds(1))
                .warning();
        }
        callers.for_each([now](const auto& session) { session->check_timeouts(now); });
        const auto open_probes = probes;
        std::ranges::for_each(open_probes,
                              [now](const auto& session) { session->check_timeouts(now); });
        guard.check_soon();
        guard.enforce_memory();
        for (const auto& id : targets.expire(now)) {
            log_event("target_dropped").add("target", id).add("reason", "not confirmed").info();
        }
        forwarder.links().close_unused(now);
        local.probe_if_silent();
        next_sweep = now + sweep_interval;
        deadlines.at(next_sweep, [this] { sweep(); });
    }

    /// Notifies other nodes that the target accepts no new requests.
    void close_target()
    {
        target_closed = true;
        local.start_draining();
        peers.for_each([](const auto& peer) { peer->send_leaving(); });
    }

    void check_drained()
    {
        const auto now = boot_clock::now();
        // The exit of the process would truncate answers that their readers have not yet received.
        const bool is_busy = local.in_flight() + forwarder.in_flight() > 0 ||
                             callers.has_unread() || peers.has_unread();
        if (is_busy) {
            idle_since = now;
        }
        const bool is_quiet =
            now - idle_since >= min_idle_time && now >= drain_start + min_drain_time;
        const bool is_over = now >= drain->end();
        if (!is_quiet && !is_over) {
            deadlines.at(now + drain_check_interval, [this] { check_drained(); });
            return;
        }
        log_event("node_drained")
            .add("vm", settings.vm)
            .add("in_flight", local.in_flight() + forwarder.in_flight())
            .info();
        drained();
    }

    asio::io_context& context;
    const relay_settings settings;
    const std::shared_ptr<connection_resources> resources;
    caller_limits limits;
    deadline_queue deadlines;
    decision_log log;
    metrics counters;
    target_directory targets;
    route_levels levels;
    crash_exchange crashes;
    local_target local;
    call_forwarder forwarder;
    peer_state_exchange exchange;
    session_set<caller_session> callers{
        {settings.memory_bytes / partial_requests_divisor,
         settings.memory_bytes / buffered_answers_divisor, "caller_closed"},
        [](auto& session) { session.refuse_unread(not_run_answer(memory_retry_delay)); }};
    std::set<std::shared_ptr<caller_session>> probes;
    session_set<peer_session> peers{{settings.memory_bytes / partial_requests_divisor,
                                     settings.memory_bytes / buffered_answers_divisor,
                                     "peer_closed"},
                                    [](auto& session) { session.drop_partial(); }};
    connection_guard guard{*resources,
                           {callers, peers, probes, local.client(), forwarder.links()},
                           {settings.memory_bytes, settings.max_connections}};
    acceptor outbound;
    acceptor inbound;
    acceptor ready;
    std::optional<acceptor> metrics_page;
    std::function<void()> drained;
    mono_time next_sweep = mono_time::max();
    mono_time drain_start;
    mono_time idle_since;
    /// Set once the node has been told to stop.
    std::optional<drain_rule> drain;
    bool target_closed = false;
};

relay_node::relay_node(asio::io_context& context, relay_settings settings)
    : impl_(std::make_unique<impl>(context, std::move(settings)))
{
}

relay_node::~relay_node() = default;

void relay_node::set_state_exchange(peer_state_exchange exchange)
{
    impl_->exchange = std::move(exchange);
}

void relay_node::start()
{
    impl_->outbound.start();
    impl_->inbound.start();
    impl_->ready.start();
    if (impl_->settings.metrics) {
        impl_->metrics_page.emplace(
            impl_->context, *impl_->settings.metrics,
            [i = impl_.get()](tcp::socket socket) { i->accept_probe(std::move(socket)); });
        impl_->metrics_page->start();
    }
    impl_->sweep();
    impl_->crashes.start();
    log_event("node_started")
        .add("vm", impl_->settings.vm)
        .add("zone", impl_->settings.zone)
        .add("service", impl_->settings.service)
        .add("outbound", impl_->settings.outbound)
        .add("inbound", impl_->settings.inbound)
        .info();
}

void relay_node::set_config(traffic_config config)
{
    const auto& current = impl_->forwarder.routes();
    if (current && config.version <= current->config().version) {
        return;
    }
    log_event("config_applied")
        .add("version", config.version)
        .add("replaces", current ? current->config().version : config_version{})
        .add("routes", config.routes.size())
        .info();
    impl_->limits = config.limits;
    impl_->bound_requests();
    impl_->set_identity_source(config);
    impl_->forwarder.set_routes(std::make_shared<route_table>(std::move(config)));
}

void relay_node::put_target(const target_entry& entry)
{
    const auto known = impl_->targets.find(entry.id.id);
    if (!known || known->entry != entry) {
        log_event("target_changed")
            .add("target", entry.id.id)
            .add("service", entry.service)
            .add("address", entry.address)
            .add("leaving", entry.leaving)
            .add("warming", entry.warming)
            .add("start", entry.id.start)
            .info();
    }
    impl_->targets.put(entry);
    const auto own = impl_->targets.at_address(impl_->settings.upstream.address().to_string(),
                                               impl_->settings.upstream.port());
    if (own && own->entry.id == entry.id) {
        impl_->local.set_entry(own->entry);
    }
}

void relay_node::remove_target(const std::string& id)
{
    impl_->targets.remove(id, boot_clock::now());
    // Kept for a while after an outage of the store, during which entries expire unrenewed.
    log_event("target_removed")
        .add("target", id)
        .add("kept", impl_->targets.find(id) != nullptr)
        .info();
}

void relay_node::set_store_available(bool available)
{
    if (available) {
        impl_->targets.on_store_available(boot_clock::now());
    }
    else {
        impl_->targets.on_store_unavailable();
    }
}

void relay_node::on_store_returned()
{
    impl_->targets.on_store_returned(boot_clock::now());
}

void relay_node::request_state(const std::string& address)
{
    const auto link = impl_->forwarder.links().link_to(address);
    link->request_state();
    link->send_control(impl_->crashes.request_text());
}

void relay_node::request_state_of_any()
{
    if (!impl_->peers.empty()) {
        impl_->peers.any()->request_state();
    }
}

void relay_node::push_state(const std::string& address, const published_changes& changes)
{
    impl_->forwarder.links().link_to(address)->push_state(impl_->message_of(changes));
}

gossip_members relay_node::members() const
{
    return members_of(impl_->targets.entries());
}

std::chrono::milliseconds relay_node::confirmation_time_left() const
{
    return impl_->targets.confirmation_time_left(boot_clock::now());
}

void relay_node::extend_confirmation(std::chrono::milliseconds left)
{
    impl_->targets.extend_confirmation(left, boot_clock::now());
}

metrics& relay_node::counters() noexcept
{
    return impl_->counters;
}

void relay_node::drain(std::function<void()> done)
{
    if (impl_->drain) {
        return;
    }
    log_event("node_draining").add("vm", impl_->settings.vm).info();
    impl_->drained = std::move(done);
    impl_->drain_start = boot_clock::now();
    impl_->idle_since = impl_->drain_start;
    impl_->drain.emplace(impl_->drain_start, impl_->settings.grace);
    impl_->local.set_drain(*impl_->drain);
    impl_->forwarder.start_draining();
    const auto use_time = std::min(target_use_time, impl_->settings.grace / 2);
    impl_->deadlines.at(impl_->drain_start + use_time, [i = impl_.get()] { i->close_target(); });
    impl_->check_drained();
}

} // namespace trefoil
