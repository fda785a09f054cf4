#pragma once

#include <cstdint>

namespace trefoil {

/// Range in which a learned limit moves, relative to the configured slots, which are approximate.
/// The bounds keep wrong latency readings from closing the target or flooding its upstream.
struct limit_bounds {
    /// Reached only when the upstream sheds.
    double lowest = 0.25;
    /// Reached on latency alone, which does not tell an upstream with too much work from one that
    /// waits for a slow dependency. Fewer slots would cut the work that a slow dependency allows.
    double lowest_by_latency = 1.0;
    double highest = 2.0;

    /// `limit` moved into the range for `slots`; at least 1.
    double clamp(double limit, std::uint32_t slots) const noexcept;

    /// `limit` after a decrease on latency alone from `from`.
    double clamp_decrease(double limit, double from, std::uint32_t slots) const noexcept;
};

} // namespace trefoil
