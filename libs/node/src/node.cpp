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

/// Grows with each start of the process on a VM.
vm_incarnation current_incarnation()
{
    return {static_cast<std::uint64_t>(wall_now().time_since_epoch().count())};
}

/// Time for callers to learn from answers and peers that the VM leaves, before the port closes.
constexpr std::chrono::milliseconds least_drain_time{500};

} // namespace

/// The parts of a node in order of their dependencies; destruction is in reverse.
class node::impl {
public:
    explicit impl(settings s)
        : own(std::move(s)), threads(own.call_threads), changes(trail),
          once(once_options{}, own.vm, own.service, boot_clock::now()),
          suspects(own.vm, incarnation), gate(threads.contexts()),
          members(member_view(own.service, own.vm, incarnation), own.availability_zone, changes),
          runner(own, threads.contexts(), gate, once, suspects, changes),
          inbound(own, incarnation, runner, gate, fractions),
          forward(own, threads.contexts(), views, members, inbound, fractions),
          router(own, views, inbound, forward, fractions, counters, runner),
          published(own, views, members, once, gate, counters, changes),
          peers(own, incarnation, views, members, once, suspects, published, counters, changes),
          platform(own, published), rpc(peers.handlers()),
          listener(threads.contexts(),
                   tcp::endpoint(asio::ip::make_address(own.address), own.call_port),
                   // The request is moved on, which clang-tidy 14 does not see in a call of a
                   // coroutine. NOLINTNEXTLINE(performance-unnecessary-value-param)
                   [this](call_request request, std::size_t shard, auto cancel) {
                       return router.handle(std::move(request), shard, std::move(cancel));
                   }),
          control(server_options(own), control_pages())
    {
        runner.on_crash([this] { peers.push_soon(); });
        published.set_listeners(
            {[this] { peers.push_soon(); }, [this](const vm_list& list) { list_known(list); }});
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
            return status_json({own, incarnation, views, members, gate, runner, inbound, forward,
                                once, suspects, published, peers});
        };
        h.audit = [this](std::uint64_t after) { return trail.to_json(after); };
        return h;
    }

    void list_known(const vm_list& list)
    {
        peers.set_members(list);
        const auto* self = list.find(own.vm);
        if (self != nullptr && self->state == vm_state::leaving && !runner.draining()) {
            start_leaving("the published list says so");
        }
    }

    void start_leaving(const std::string& why)
    {
        changes.record("draining", own.vm.str(), "serving", "draining", why);
        runner.start_draining();
        members.start_leaving();
        peers.push_soon();
    }

    /// Work of callers that are gone may still run, and answers of ended work may still be written.
    std::size_t in_flight() const
    {
        return std::max(inbound.active().size() + forward.in_flight(), listener.in_flight());
    }

    const vm_incarnation incarnation = current_incarnation();
    settings own;
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
        .add("vm", impl_->own.vm)
        .add("service", impl_->own.service)
        .add("call_port", impl_->own.call_port)
        .add("control_port", impl_->own.control_port)
        .info();
}

bool node::drain()
{
    impl_->start_leaving("shutdown requested");
    impl_->peers.push_leaving();
    const auto start = boot_clock::now();
    const auto end = start + impl_->own.drain_timeout;
    auto now = start;
    while (now < end && (impl_->in_flight() > 0 || now < start + least_drain_time)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        now = boot_clock::now();
    }
    impl_->listener.close();
    const auto left = impl_->in_flight();
    log_event("node_drained").add("vm", impl_->own.vm).add("in_flight", left).info();
    return left == 0;
}

} // namespace trefoil
