#pragma once

#include "base/names.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace trefoil {

/// A route together with the service that its requests went to.
struct called_route {
    std::uint32_t route = 0;
    service_name service;

    // clang-tidy 14 takes the literal 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const called_route&, const called_route&) = default;
};

/// Which routes the own target calls while it runs requests of a route, learned from the calls.
///
/// Load pattern: a service far below is short of capacity, and only requests of some routes reach
/// it. By the calls, the levels of the services below apply to these routes alone.
class call_graph {
public:
    /// A run of a request of `parent` called `child`.
    void record(std::uint32_t parent, const called_route& child, mono_time now);

    /// Routes called by runs of `parent` lately.
    std::vector<called_route> children(std::uint32_t parent, mono_time now) const;

private:
    std::map<std::pair<std::uint32_t, called_route>, mono_time> last_seen_;
};

} // namespace trefoil
