#pragma once

#include "admission/work_item.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <vector>

namespace trefoil {

/// Work that this target refuses. The node answers it with `not-run` immediately.
struct refused_ticket {
    admission_ticket ticket;
    refusal_reason reason = refusal_reason::queue_full;
    /// Delay after which the caller may retry, with jitter applied.
    std::chrono::milliseconds retry_after{0};
};

/// Actions that the node must take after a call to the admission controller. Each ticket is listed
/// at most once over all calls, as either started or refused. The node ends a started ticket with
/// `finish` or `cancel`.
struct admission_changes {
    /// Tickets whose requests must be forwarded to the upstream now, in this order.
    std::vector<admission_ticket> started;
    std::vector<refused_ticket> refused;
};

/// Result of `offer`: the ticket of the new work item and the actions to take, which may already
/// start or refuse that ticket.
struct offer_result {
    admission_ticket ticket;
    admission_changes changes;
};

} // namespace trefoil
