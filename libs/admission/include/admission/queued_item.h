#pragma once

#include "admission/work_item.h"
#include "wire/refusal_reason.h"

namespace trefoil {

/// A work item in the queue.
struct queued_item {
    admission_ticket ticket;
    work_item work;
    /// At this time or later, the item is refused instead of started.
    mono_time latest_start;
    /// Reason of the refusal if `latest_start` passes before the deadline does.
    refusal_reason late_reason = refusal_reason::cannot_finish;
};

} // namespace trefoil
