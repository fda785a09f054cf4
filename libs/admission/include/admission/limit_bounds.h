#pragma once

#include <cstdint>

namespace trefoil {

/// Range of an adaptive limit, as factors of the configured slots, which are approximate. The
/// bounds prevent misleading latency measurements from shutting off the target or overloading its
/// upstream.
struct limit_bounds {
    /// Minimum if the upstream sheds load.
    double min_slots_factor = 0.25;
    /// Minimum if only the latency has risen. Latency does not distinguish an overloaded upstream
    /// from one that waits for a slow dependency. In the latter case, a lower limit would reduce
    /// throughput below what the dependency allows.
    double min_slots_factor_on_latency = 1.0;
    /// Maximum.
    double max_slots_factor = 2.0;

    /// Clamps `limit` to the range for `slots`. The result is at least 1.
    double clamp(double limit, std::uint32_t slots) const noexcept;

    /// Bounds a decrease from `from` to `limit` that is based on latency only. A limit that is
    /// already below the minimum for latency is not raised to it.
    double clamp_decrease(double limit, double from, std::uint32_t slots) const noexcept;
};

} // namespace trefoil
