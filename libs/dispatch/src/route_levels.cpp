#include "dispatch/route_levels.h"

#include <algorithm>
#include <array>
#include <string>

namespace trefoil {

namespace {

/// Exponential growth rate of a level between two reports, per second. A route that is mostly
/// rejected gets about one response per second; with twice the rate the simulation of many entry
/// nodes overshoots (deep_service_load_test).
constexpr double growth_per_second = 1.0;

/// Levels are stored by route and apply to all groups.
const group_name any_group{"*"};

kind_name key_of(std::uint32_t route)
{
    return kind_name(std::to_string(route));
}

} // namespace

route_levels::route_levels()
    : levels_({.raise_per_second = 0.0, .growth_per_second = growth_per_second})
{
}

void route_levels::record(const called_route& called, double level, mono_time now)
{
    levels_.record(called.service, key_of(called.route), any_group, level, now);
}

void route_levels::record_call(std::uint32_t parent, const called_route& child, mono_time now)
{
    graph_.record(parent, child, now);
}

double route_levels::level_of(const called_route& called, mono_time now) const
{
    const std::array path{called.service};
    return levels_.min_fraction(path, key_of(called.route), any_group, now);
}

double route_levels::min_child_level(std::uint32_t route, mono_time now) const
{
    double level = 1.0;
    for (const auto& child : graph_.children(route, now)) {
        level = std::min(level, level_of(child, now));
    }
    return level;
}

} // namespace trefoil
