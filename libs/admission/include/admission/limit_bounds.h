#pragma once

#include <cstdint>

namespace trefoil {

/// Range in which a learned limit moves, relative to the configured slots, which are approximate.
/// The bounds keep wrong latency readings from closing the target or flooding its upstream.
struct limit_bounds {
    double lowest = 0.25;
    double highest = 2.0;

    /// `limit` moved into the range for `slots`; at least 1.
    double clamp(double limit, std::uint32_t slots) const noexcept;
};

} // namespace trefoil
