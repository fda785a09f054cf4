#pragma once

#include "admission/policy_index.h"
#include "base/request_id.h"
#include "base/time.h"
#include "base/versions.h"

#include <cstdint>

namespace trefoil {

/// Identifies a work item from `offer` until it is refused, finished or cancelled. Never reused.
using admission_ticket = strong_number<struct admission_ticket_tag>;

/// A request that is offered to the admission controller of this target.
struct work_item {
    request_id id;
    kind_index kind;
    group_index group;
    /// Call depth: number of hops from the entry node. Within a flow, deeper work starts first.
    std::uint32_t depth = 0;
    /// Hash of id and attempt, in [0, 1). Among items of a flow with the same depth, the one with
    /// the highest admit point is evicted first, so that all hops refuse the same requests.
    double admit_point = 0.0;
    /// Time by which the request must be completed.
    mono_time deadline;
};

} // namespace trefoil
