#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Load of one target, as its node reports it with each response.
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Maximum number of requests that the node runs concurrently.
    std::uint32_t limit = 1;
    /// Smoothed time for which a request occupies a slot.
    std::chrono::milliseconds hold{0};
};

} // namespace trefoil
