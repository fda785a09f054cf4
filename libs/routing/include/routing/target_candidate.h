#pragma once

#include "base/names.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// One target of a service as this node sees it.
struct target_candidate {
    vm_name vm;
    availability_zone_name availability_zone;
    bool healthy = true;
    /// Never picked, also not in panic routing.
    bool leaving = false;
    /// The target is suspected and due for an occasional call that shows whether it recovered.
    bool trial_due = false;
    /// Calls of this node that the target has not answered yet.
    std::uint32_t in_flight = 0;
    /// Smoothed time to a complete answer; 0 while none was measured.
    std::chrono::nanoseconds latency{0};
};

} // namespace trefoil
