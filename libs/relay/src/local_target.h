#pragma once

#include "crash_exchange.h"
#include "deadline_queue.h"
#include "decision_log.h"
#include "node_message.h"
#include "upstream_client.h"

#include "relay/http_get_client.h"

#include "dispatch/admit_level.h"
#include "dispatch/calls_per_run.h"
#include "dispatch/content_fingerprints.h"
#include "dispatch/drain_rule.h"
#include "dispatch/route_levels.h"
#include "dispatch/run_queue.h"
#include "dispatch/target_crash_detector.h"
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

/// The target on this node's VM: queues requests for it, sends them to it, detects its crashes and
/// reports its load.
class local_target {
public:
    using answer_handler = std::function<void(answer_message)>;

    local_target(asio::io_context& context, deadline_queue& deadlines, tcp::endpoint upstream,
                 const header_dialect& names, answer_limits limits, const route_levels& levels,
                 decision_log& log, crash_exchange& crashes);

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

    /// Cancels a request; its `done` does not run. A request that is not idempotent and already
    /// runs at the target is not interrupted.
    void cancel(std::uint64_t ticket);

    /// Probes the target if it has requests but sends no answers. To be called periodically.
    void probe_if_silent();

    /// Rejects requests that might not end before the process from now on.
    void set_drain(const drain_rule& drain) { drain_ = drain; }

    /// Rejects new requests from now on.
    void start_draining() { draining_ = true; }

    /// Properties that a nested call inherits from the request that the target is running.
    struct parent_run {
        std::uint32_t route = 0;
        std::uint32_t rank = 0;
        /// Deadline of the request at its entry node.
        mono_time request_deadline;
        /// The request was sent to another target before.
        bool repeated = false;
        /// Chance that the request at the entry node succeeds if this one does.
        double chance = 1.0;
        /// Number of calls that it has made, and of those that succeeded.
        std::uint32_t calls = 0;
        std::uint32_t succeeded_calls = 0;
        /// Number of calls that requests of its route usually make.
        double usual_calls = 0.0;
    };

    /// Counts a call for the running request that made it, and returns the request. Returns nothing
    /// if the call came from a caller outside the target.
    std::optional<parent_run> record_call(const std::string& id);

    /// Whether a running request made the call with this id.
    bool is_call(const std::string& id) const;

    /// Records that the call with this id succeeded.
    void record_call_succeeded(const std::string& id);

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
    };

    /// Id of the request that made the call with this id, if its form is that of a call.
    std::string parent_id(const std::string& id) const;
    /// The running request that made the call with this id; null if there is none.
    parent_run* find_parent(const std::string& id);

    /// Whether the process has room for the body of one more request.
    bool has_room_for(const call_message& call) const;
    void advance();
    void start(std::uint64_t ticket);
    void refuse(std::uint64_t ticket);
    bool requeue_for_identity(std::uint64_t ticket);
    void request_identity();
    void on_identity(const http_get_result& status);
    void on_result(std::uint64_t ticket, upstream_result result);
    void record_result(std::uint64_t ticket, const running_call& call,
                       const upstream_result& result);
    void on_closed_early(const running_call& call);
    void report_crash(const char* sign, const target_crash_detector::request_fingerprints& running);
    /// Opens a connection to the target to find out whether it crashed or only closed a connection.
    void probe_target();
    void on_probe_result(boost::system::error_code error);
    void finish(std::uint64_t ticket, bool completed, answer_message answer);
    void arm_wakeup();
    void observe(mono_time now);

    deadline_queue& deadlines_;
    upstream_client client_;
    decision_log& log_;
    crash_exchange& crashes_;
    const route_levels& levels_;
    run_queue queue_;
    admit_level level_;
    std::unordered_map<std::uint64_t, running_call> calls_;
    /// Requests at the target, by id.
    std::unordered_map<std::string, parent_run> runs_;
    calls_per_run calls_per_run_;
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
    target_crash_detector crash_detector_;
    bool is_probe_pending_ = false;
    mono_time armed_for_ = mono_time::max();
    double logged_level_ = 1.0;
    std::optional<drain_rule> drain_;
    bool draining_ = false;
};

} // namespace trefoil
