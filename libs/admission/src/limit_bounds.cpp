#include "admission/limit_bounds.h"

#include <algorithm>

namespace trefoil {

double limit_bounds::clamp(double limit, std::uint32_t slots) const noexcept
{
    const double low = std::max(1.0, lowest * slots);
    return std::clamp(limit, low, std::max(low, highest * slots));
}

double limit_bounds::clamp_decrease(double limit, double from, std::uint32_t slots) const noexcept
{
    // A limit that sheds brought below the bound stays there.
    return std::max(limit, std::min(from, lowest_by_latency * slots));
}

} // namespace trefoil
