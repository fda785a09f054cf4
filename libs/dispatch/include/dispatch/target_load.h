#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Load of one target as the node beside it reports it with each answer.
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Requests that the node lets run at once.
    std::uint32_t limit = 1;
    /// Smoothed time that a request holds a slot.
    std::chrono::milliseconds hold{0};
};

} // namespace trefoil
