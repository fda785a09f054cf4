#pragma once

#include "admission/work_item.h"
#include "wire/refusal_reason.h"

namespace trefoil {

/// Work that waits for a slot.
struct queued_item {
    admission_ticket ticket;
    work_item work;
    /// From this time on the item is refused instead of started.
    mono_time latest_start;
    /// Reason given if that time passes.
    refusal_reason late_reason = refusal_reason::cannot_finish;
};

} // namespace trefoil
