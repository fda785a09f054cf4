#include "admission/limit_bounds.h"

#include <algorithm>

namespace trefoil {

double limit_bounds::clamp(double limit, std::uint32_t slots) const noexcept
{
    const double low = std::max(1.0, min_slots_factor * slots);
    return std::clamp(limit, low, std::max(low, max_slots_factor * slots));
}

double limit_bounds::clamp_decrease(double limit, double from, std::uint32_t slots) const noexcept
{
    // A limit that load shedding reduced below the latency minimum keeps its value.
    return std::max(limit, std::min(from, min_slots_factor_on_latency * slots));
}

} // namespace trefoil
