#pragma once

#include "base/names.h"
#include "base/time.h"
#include "dispatch/call_graph.h"
#include "routing/flow_table.h"

#include <cstdint>

namespace trefoil {

/// The admit levels of other services that this node has received, by route.
///
/// Load pattern: many entry nodes send to a service that is short of capacity, and each of them
/// receives its level only with the few responses that it still gets. Between two reports a level
/// grows in proportion to itself, so that all entry nodes together do not send a multiple of what
/// the service can take.
class route_levels {
public:
    route_levels();

    /// Records the level, in [0, 1], that the node of a target of the service reported.
    void record(const called_route& called, double level, mono_time now);

    /// Records that a request of the route `parent` made a call to `child`.
    void record_call(std::uint32_t parent, const called_route& child, mono_time now);

    /// The level of a service for a route, which includes the services that it calls; 1 if none is
    /// known.
    double level_of(const called_route& called, mono_time now) const;

    /// Whether requests of the route call other services.
    bool makes_calls(std::uint32_t route, mono_time now) const
    {
        return !graph_.children(route, now).empty();
    }

    /// Lowest level of the services that requests of the route call; 1 if none is known.
    double min_child_level(std::uint32_t route, mono_time now) const;

private:
    flow_table levels_;
    call_graph graph_;
};

} // namespace trefoil
