#include "dispatch/calls_per_run.h"

namespace trefoil {

namespace {

/// Weight of a new number in the exponentially smoothed number of calls.
constexpr double smoothing = 0.1;

} // namespace

void calls_per_run::record(std::uint32_t route, std::uint32_t calls)
{
    const auto [known, is_first] = usual_.try_emplace(route, calls);
    if (!is_first) {
        known->second += smoothing * (calls - known->second);
    }
}

double calls_per_run::usual(std::uint32_t route) const
{
    const auto known = usual_.find(route);
    return known == usual_.end() ? 0.0 : known->second;
}

} // namespace trefoil
