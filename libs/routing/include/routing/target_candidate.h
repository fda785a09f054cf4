#pragma once

#include "base/names.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// State of one target of a service, as known to this node.
struct target_candidate {
    vm_name vm;
    availability_zone_name availability_zone;
    /// False if the target is suspected to have failed.
    bool healthy = true;
    /// The target is leaving. It is never selected, not even in panic routing.
    bool leaving = false;
    /// The target is suspected and due for a trial call, which shows whether it has recovered.
    bool trial_due = false;
    /// Calls of this node to the target that have no response yet.
    std::uint32_t in_flight = 0;
    /// Smoothed time until a complete response; 0 before the first measurement.
    std::chrono::nanoseconds latency{0};
};

} // namespace trefoil
