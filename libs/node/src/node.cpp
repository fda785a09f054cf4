#include "node/node.h"

#include "call_router.h"
#include "peer_link.h"
#include "platform_watch.h"
#include "status_page.h"

#include "base/log_event.h"
#include "call_io/call_listener.h"
#include "call_io/io_threads.h"
#include "control/control_server.h"

#include <algorithm>
#include <thread>

namespace trefoil {

namespace {

/// Derived from the wall clock, so that it increases with each start of the process on a VM.
vm_incarnation make_incarnation()
{
    return {static_cast<std::uint64_t>(wall_now().time_since_epoch().count())};
}

/// Time for the notice that the VM is leaving to reach callers, by answers and peers, before the
/// port is closed.
constexpr std::chrono::milliseconds min_drain_time{500};

} // namespace

/// Components of a node, declared in the order of their dependencies and destroyed in reverse.
class node::impl {
public:
    explicit impl(settings s)
        : node_settings(std::move(s)), threads(node_settings.call_threads), changes(trail),
          once(once_options{}, node_settings.vm, node_settings.service, boot_clock::now()),
          suspects(node_settings.vm, incarnation), gate(threads.contexts()),
          members(member_view(node_settings.service, node_settings.vm, incarnation),
                  node_settings.availability_zone, changes),
          runner(node_settings, threads.contexts(), gate, once, suspects, changes),
          inbound(node_settings, incarnation, runner, gate, fractions),
          forward(node_settings, threads.contexts(), views, members, inbound, fractions),
          router(node_settings, views, inbound, forward, fractions, counters, runner),
          published(node_settings, views, members, once, gate, counters, changes),
          peers(node_settings, incarnation, views, members, once, suspects, published, counters,
                changes),
          platform(node_settings, published), rpc(peers.handlers()),
          listener(
              threads.contexts(),
              tcp::endpoint(asio::ip::make_address(node_settings.address), node_settings.call_port),
              // The request is moved, which clang-tidy 14 does not detect in a call of a
              // coroutine. NOLINTNEXTLINE(performance-unnecessary-value-param)
              [this](call_request request, std::size_t shard, auto cancel) {
                  return router.handle(std::move(request), shard, std::move(cancel));
              }),
          control(server_options(node_settings), control_pages())
    {
        runner.on_crash([this] { peers.schedule_push(); });
        published.set_listeners({[this] { peers.schedule_push(); },
                                 [this](const vm_list& list) { list_received(list); }});
    }

    static control_server_options server_options(const settings& s)
    {
        control_server_options options;
        options.address = s.address;
        options.port = s.control_port;
        return options;
    }

    control_handlers control_pages()
    {
        control_handlers h;
        h.rpc = [this](const std::string& body) { return rpc.handle(body); };
        h.metrics = [this] { return counters.text(); };
        h.status = [this] {
            return status_json({node_settings, incarnation, views, members, gate, runner, inbound,
                                forward, once, suspects, published, peers});
        };
        h.audit = [this](std::uint64_t after) { return trail.to_json(after); };
        return h;
    }

    void list_received(const vm_list& list)
    {
        peers.set_members(list);
        const auto* self = list.find(node_settings.vm);
        if (self != nullptr && self->state == vm_state::leaving && !runner.draining()) {
            start_leaving("listed as leaving in the published VM list");
        }
    }

    void start_leaving(const std::string& reason)
    {
        changes.record("draining", node_settings.vm.str(), "serving", "draining", reason);
        runner.start_draining();
        members.start_leaving();
        peers.schedule_push();
    }

    /// The max of two counts: work whose caller has disconnected may still run, and answers of
    /// finished work may still be written.
    std::size_t in_flight() const
    {
        return std::max(inbound.active().size() + forward.in_flight(), listener.in_flight());
    }

    const vm_incarnation incarnation = make_incarnation();
    settings node_settings;
    io_threads threads;
    audit_trail trail;
    change_log changes;
    metrics counters;
    node_views views;
    flow_fractions fractions;
    once_guard once;
    crash_suspects suspects;
    admission_gate gate;
    membership_monitor members;
    local_runner runner;
    inbound_server inbound;
    forwarder forward;
    call_router router;
    published_state published;
    peer_link peers;
    platform_watch platform;
    rpc_server rpc;
    call_listener listener;
    control_server control;
};

node::node(settings s) : impl_(std::make_unique<impl>(std::move(s))) {}

node::~node()
{
    impl_->threads.stop();
}

void node::start()
{
    impl_->listener.start();
    impl_->threads.start();
    impl_->peers.start();
    impl_->platform.start();
    log_event("node_started")
        .add("vm", impl_->node_settings.vm)
        .add("service", impl_->node_settings.service)
        .add("call_port", impl_->node_settings.call_port)
        .add("control_port", impl_->node_settings.control_port)
        .info();
}

bool node::drain()
{
    impl_->start_leaving("shutdown requested");
    impl_->peers.announce_leaving();
    const auto start = boot_clock::now();
    const auto end = start + impl_->node_settings.drain_timeout;
    auto now = start;
    while (now < end && (impl_->in_flight() > 0 || now < start + min_drain_time)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        now = boot_clock::now();
    }
    impl_->listener.close();
    const auto left = impl_->in_flight();
    log_event("node_drained").add("vm", impl_->node_settings.vm).add("in_flight", left).info();
    return left == 0;
}

} // namespace trefoil
