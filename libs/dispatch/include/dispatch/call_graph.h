#pragma once

#include "base/names.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace trefoil {

/// A route and the service that its requests were sent to.
struct called_route {
    /// Number of the route, see `route_key`.
    std::uint32_t route = 0;
    service_name service;

    // clang-tidy 14 mistakes the literal 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const called_route&, const called_route&) = default;
};

/// The routes that the node's own target calls while it runs requests of a given route, learned
/// from observed calls.
///
/// Load pattern: a service deep in the call graph is short of capacity, and only the requests of
/// some routes reach it. The recorded edges restrict the admit level of that service to these
/// routes.
class call_graph {
public:
    /// Records that a request of the route `parent` made a call to `child`.
    void record(std::uint32_t parent, const called_route& child, mono_time now);

    /// Routes that requests of `parent` called within the lifetime of an edge (20 s).
    std::vector<called_route> children(std::uint32_t parent, mono_time now) const;

private:
    std::map<std::pair<std::uint32_t, called_route>, mono_time> last_seen_;
};

} // namespace trefoil
