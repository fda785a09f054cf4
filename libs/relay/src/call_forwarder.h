#pragma once

#include "answer_limits.h"
#include "call_report.h"
#include "local_target.h"
#include "node_links.h"
#include "pending_call.h"

#include "dispatch/call_shares.h"
#include "dispatch/content_fingerprints.h"
#include "dispatch/entry_admission.h"
#include "dispatch/placement.h"
#include "dispatch/retry_limiter.h"
#include "dispatch/route_levels.h"
#include "dispatch/target_directory.h"
#include "dispatch/weighted_rotation.h"
#include "relay/relay_settings.h"
#include "wire/refusal_reason.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace trefoil {

/// Forwards requests that enter at this node, from callers on this VM and from the local target, to
/// a target of the requested service, and returns the answers. Applies admission, quarantine,
/// retries and deadlines.
class call_forwarder {
public:
    call_forwarder(asio::io_context& context,
                   const std::shared_ptr<connection_resources>& resources,
                   deadline_queue& deadlines, const relay_settings& s, target_directory& targets,
                   local_target& local, route_levels& levels, const crash_exchange& crashes,
                   decision_log& log, metrics& counters, peer_link::handlers link_handlers);

    /// Sets the limit in bytes for the large bodies of all requests in progress.
    void set_max_accepted_bytes(std::size_t bytes) { accepted_->set_limit(bytes); }

    /// Replaces the route table; requests in progress keep the table they started with.
    void set_routes(std::shared_ptr<const route_table> routes);
    const std::shared_ptr<const route_table>& routes() const noexcept { return routes_; }

    /// Admits and forwards one request, or answers it with an error.
    void handle(const std::shared_ptr<caller_session>& caller, relay_request request);

    /// When the request must be answered, by its route's timeout and its caller's. The time of its
    /// arrival if no route matches it.
    mono_time deadline_of(const relay_request& request) const;

    /// Cancels the request in progress of a caller that closed its connection.
    void caller_disconnected(const std::shared_ptr<caller_session>& caller);

    /// From now on, each answer closes its caller's connection.
    void start_draining() { draining_ = true; }

    /// Connections to the other nodes.
    node_links& links() noexcept { return links_; }

    /// Number of requests that are not answered yet.
    std::size_t in_flight() const noexcept { return calls_.size(); }

private:
    using call_ptr = std::shared_ptr<pending_call>;

    content_fingerprints content_of(const relay_request& request) const;
    std::optional<std::chrono::milliseconds> quarantine_left(pending_call& call) const;
    bool may_retry(pending_call& call, call_outcome ended);
    static mono_time deadline_of(const relay_request& request, const route& matched);
    /// Whether the memory suffices to keep the request until it is answered.
    bool has_room_for(const relay_request& request) const;
    void record_parent(pending_call& call);
    bool admit(const call_ptr& call);
    void send(const call_ptr& call);
    void send_to(const call_ptr& call, const std::shared_ptr<target_state>& target);
    void on_answer(const call_ptr& call, answer_message answer);
    void record_answer(pending_call& call, const answer_message& answer, call_outcome outcome);
    void finish_unanswered(const call_ptr& call, call_outcome last);
    void on_deadline(const call_ptr& call);
    /// Cancels the current attempt, if any. Returns how far it had got.
    request_stage cancel_attempt(pending_call& call);
    void refuse(const call_ptr& call, refusal_reason reason, std::chrono::milliseconds retry_after);
    void fail(const call_ptr& call, unsigned status, refusal_reason reason);
    void finish(const call_ptr& call, relay_answer answer);
    void record_call_result(const pending_call& call, bool succeeded);
    double level_of(const pending_call& call) const;
    retry_limiter& limiter_of(const service_name& service);
    deadline_queue& deadlines_;
    const relay_settings& settings_;
    std::shared_ptr<memory_account> memory_;
    /// Bodies of the requests in progress.
    std::shared_ptr<memory_account> accepted_;
    target_directory& targets_;
    local_target& local_;
    call_report report_;
    const crash_exchange& crashes_;
    answer_limits limits_;
    node_links links_;
    placement placement_;
    entry_admission entry_admission_;
    weighted_rotation rotation_;
    route_levels& levels_;
    std::shared_ptr<const route_table> routes_;
    std::map<service_name, retry_limiter> retry_limiters_;
    call_shares call_shares_;
    std::unordered_map<const caller_session*, call_ptr> calls_;
    std::mt19937_64 random_;
    bool draining_ = false;
};

} // namespace trefoil
