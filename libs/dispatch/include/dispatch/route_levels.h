#pragma once

#include "base/names.h"
#include "base/time.h"
#include "dispatch/call_graph.h"
#include "routing/flow_table.h"

#include <cstdint>

namespace trefoil {

/// What this node knows of the admit levels of other services, by route.
///
/// Load pattern: many first hops send to a service that is short of capacity, and each of them
/// hears of its level only with the few answers that it still gets. Between them a level grows in
/// proportion to itself, so that all first hops together do not send a multiple of what the service
/// can take.
class route_levels {
public:
    route_levels();

    /// A node beside a target of the service told its level, in [0, 1].
    void record(const called_route& called, double level, mono_time now);

    /// A run of a request of `parent` called `child`.
    void record_call(std::uint32_t parent, const called_route& child, mono_time now);

    /// The level of a service for a route, services below it included; 1 if none is known.
    double level_of(const called_route& called, mono_time now) const;

    /// Smallest level of the services that runs of the route call.
    double level_below(std::uint32_t route, mono_time now) const;

private:
    flow_table levels_;
    call_graph graph_;
};

} // namespace trefoil
