#pragma once

#include "caller_session.h"
#include "deadline_queue.h"
#include "node_message.h"
#include "peer_link.h"
#include "relay_call.h"

#include "dispatch/entry_admission.h"
#include "dispatch/memory_account.h"
#include "dispatch/retry_rule.h"
#include "dispatch/route_table.h"
#include "dispatch/target_state.h"
#include "quarantine/content_fingerprint.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

/// State of a request from its arrival at this node until its answer is sent.
struct pending_call {
    relay_request request;
    std::weak_ptr<caller_session> caller;
    /// Keeps `matched_route` valid after a newer configuration was applied.
    std::shared_ptr<const route_table> routes;
    const route* matched_route = nullptr;
    service_name service;
    /// True if the local target made this call while running another request.
    bool nested = false;
    /// Rank of the request that began the chain of calls.
    std::uint32_t rank = 0;
    mono_time deadline;
    /// Deadline of the request that began the chain of calls, at its entry node.
    mono_time request_deadline;
    /// The request that made this call was itself sent again.
    bool is_part_of_retry = false;
    /// Chance that the request at the entry node succeeds if this one does.
    double chance = 1.0;
    send_history history;
    std::vector<std::string> tried;
    /// Target of the current attempt; null between attempts.
    std::shared_ptr<target_state> target;
    std::shared_ptr<peer_link> link;
    std::uint32_t stream = 0;
    std::uint64_t local_ticket = 0;
    bool finished = false;
    /// Set if the request was rejected, or not sent again, because of its content.
    std::optional<content_fingerprint> content;
    /// Ends the request at its deadline.
    deadline_queue::entry expiry;
    /// For the head of the request and this object.
    memory_lease held;
    /// For the body, while the request is in progress.
    memory_lease accepted;
};

/// Time until the latency objective of the request's route; negative once it has passed.
std::chrono::milliseconds objective_left(const pending_call& call, mono_time now);

/// The request as entry_admission sees it.
entering_request entering_request_of(const pending_call& call);

/// The message that takes the request to the node of the target.
call_message call_message_of(const pending_call& call, const target_state& target,
                             std::size_t max_answer_bytes);

} // namespace trefoil
