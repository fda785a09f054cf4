#pragma once

#include "admission/work_item.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <vector>

namespace trefoil {

/// Work that will not run here, to be answered `not-run` at once.
struct refused_ticket {
    admission_ticket ticket;
    refusal_reason reason = refusal_reason::queue_full;
    /// When the caller may ask again, spread by jitter.
    std::chrono::milliseconds retry_after{0};
};

/// What the node must do after a call to the admission controller. A ticket appears at most once
/// over all changes, except that a started ticket is ended by the node with finish or cancel.
struct admission_changes {
    /// Tickets to hand off to the upstream now, in this order.
    std::vector<admission_ticket> started;
    std::vector<refused_ticket> refused;
};

/// The ticket of newly offered work, which `changes` may already start or refuse.
struct offer_result {
    admission_ticket ticket;
    admission_changes changes;
};

} // namespace trefoil
