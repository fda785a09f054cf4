#include "dispatch/call_shares.h"

namespace trefoil {

namespace {

/// Weight of a new result in the exponentially smoothed share.
constexpr double smoothing = 0.02;

} // namespace

void call_shares::record(std::uint32_t route, bool succeeded)
{
    auto& share = shares_.try_emplace(route, 1.0).first->second;
    share += smoothing * ((succeeded ? 1.0 : 0.0) - share);
}

double call_shares::succeeding(std::uint32_t route) const
{
    const auto known = shares_.find(route);
    return known == shares_.end() ? 1.0 : known->second;
}

} // namespace trefoil
