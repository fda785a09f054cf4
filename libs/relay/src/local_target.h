#pragma once

#include "crash_exchange.h"
#include "deadline_queue.h"
#include "decision_log.h"
#include "input_barrier.h"
#include "node_message.h"
#include "request_stage.h"
#include "target_crash_watch.h"
#include "upstream_client.h"

#include "relay/http_get_client.h"

#include "dispatch/admit_level.h"
#include "dispatch/content_fingerprints.h"
#include "dispatch/drain_rule.h"
#include "dispatch/route_levels.h"
#include "dispatch/run_queue.h"
#include "dispatch/running_requests.h"
#include "dispatch/slot_limiter.h"
#include "dispatch/target_entry.h"
#include "dispatch/target_identity.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// The target on this node's VM: queues requests for it, sends them to it and reports its load.
class local_target {
public:
    using answer_handler = std::function<void(answer_message)>;

    local_target(asio::io_context& context, const std::shared_ptr<connection_resources>& resources,
                 deadline_queue& deadlines, tcp::endpoint upstream, const header_dialect& names,
                 answer_limits limits, const route_levels& levels, decision_log& log,
                 crash_exchange& crashes);

    /// Sends the requests to the target.
    const upstream_client& client() const noexcept { return client_; }

    /// Path of the target's status check, and a check whether an id may belong to this service.
    /// Both are needed to learn the current id when the target rejects requests for an earlier id.
    struct identity_source {
        std::string status_path;
        service_name service;
        std::function<bool(const std::string& id)> may_be_of_service;
    };
    void set_identity_source(identity_source source) { identity_source_ = std::move(source); }

    /// Applies the target's published entry: its slots, its id and whether it is leaving.
    void set_entry(const target_entry& entry);

    /// Queues a request and returns its ticket for `cancel`. `done` runs once, possibly before this
    /// returns, unless the request is cancelled. Rejects the request if the node is draining, if
    /// its body exceeds the memory limit or if its content is quarantined.
    std::uint64_t offer(call_message call, const std::string& caller_service, answer_handler done);

    /// Cancels a request; its `done` does not run. A request that is not idempotent is not
    /// interrupted once any of it was sent to the target. Returns how far the request had got.
    request_stage cancel(std::uint64_t ticket);

    /// Probes the target if it has requests but sends no answers. To be called periodically.
    void probe_if_silent() { crash_watch_.probe_if_silent(); }

    /// Rejects requests that might not end before the process from now on.
    void set_drain(const drain_rule& drain) { drain_ = drain; }

    /// Rejects new requests from now on.
    void start_draining() { draining_ = true; }

    /// The requests that the target is running, and their calls.
    running_requests& runs() noexcept { return runs_; }
    const running_requests& runs() const noexcept { return runs_; }

    /// Number of requests that wait or run.
    std::size_t in_flight() const noexcept { return calls_.size(); }

    target_load load() const { return queue_.load(); }
    double level() const noexcept { return level_.value(); }

    /// Admit level for requests of the route: the lower of the target's own level and the levels of
    /// the services that the route reaches by nested calls.
    double level_of(std::uint32_t route, mono_time now) const;

private:
    struct running_call {
        call_message call;
        content_fingerprints content;
        std::string caller_service;
        answer_handler done;
        std::shared_ptr<upstream_exchange> exchange;
        mono_time deadline;
        mono_time request_deadline;
        mono_time offered;
        /// The target rejected it once (status 421) because it was sent for another target id.
        bool was_misdirected = false;
        /// For the head of the request and this object.
        memory_lease held{};
    };

    /// Whether the process has room for the body of one more request.
    bool has_room_for(const call_message& call) const;
    void advance();
    void start(std::uint64_t ticket);
    /// Writes a log line about a cancelled request; `stopped` is false if its work goes on.
    void log_cancelled(const running_call& call, request_stage stage, bool stopped);
    void refuse(std::uint64_t ticket);
    bool requeue_for_identity(std::uint64_t ticket);
    void request_identity();
    void on_identity(const http_get_result& status);
    void on_result(std::uint64_t ticket, upstream_result result);
    void record_result(std::uint64_t ticket, const running_call& call,
                       const upstream_result& result);
    void on_closed_early(const running_call& call);
    void finish(std::uint64_t ticket, bool completed, answer_message answer);
    void record_run(std::uint64_t ticket, std::uint32_t route, bool succeeded);
    void arm_wakeup();
    void observe(mono_time now);

    deadline_queue& deadlines_;
    std::shared_ptr<memory_account> memory_;
    upstream_client client_;
    decision_log& log_;
    crash_exchange& crashes_;
    const route_levels& levels_;
    run_queue queue_;
    slot_limiter slot_limiter_;
    admit_level level_;
    std::unordered_map<std::uint64_t, running_call> calls_;
    running_requests runs_;
    const header_dialect& names_;
    asio::io_context& context_;
    tcp::endpoint upstream_;
    target_identity identity_;
    identity_source identity_source_;
    /// Client of the status check that asks the target for its id; null if none is in progress.
    std::shared_ptr<http_get_client> identity_client_;
    /// Tickets of requests that wait for the target's id.
    std::vector<std::uint64_t> awaiting_identity_;
    /// Total body bytes of all requests that wait or run, and their limit.
    std::size_t body_bytes_ = 0;
    std::size_t max_body_bytes_;
    std::uint64_t last_ticket_ = 0;
    target_crash_watch crash_watch_;
    /// Starts requests only after the cancellations that have already arrived were handled.
    input_barrier advance_;
    mono_time armed_for_ = mono_time::max();
    double logged_level_ = 1.0;
    std::optional<drain_rule> drain_;
    bool draining_ = false;
};

} // namespace trefoil
