#pragma once

#include "admission/policy_index.h"
#include "base/request_id.h"
#include "base/time.h"
#include "base/versions.h"

#include <cstdint>

namespace trefoil {

/// Names one offered work item until it is refused, finished or cancelled. Never reused.
using admission_ticket = strong_number<struct admission_ticket_tag>;

/// A request that asks for a slot of this target.
struct work_item {
    request_id id;
    kind_index kind;
    group_index group;
    /// Hops already passed; deeper work of a flow starts first.
    std::uint32_t depth = 0;
    /// Hash of id and attempt in [0, 1). Of equally deep work of a flow, the item with the highest
    /// point is displaced first, so that every hop refuses the same requests.
    double admit_point = 0.0;
    /// Time by which the work must have finished.
    mono_time deadline;
};

} // namespace trefoil
