#pragma once

#include "base/names.h"

#include <vector>

namespace trefoil {

/// Requests of the named kinds make calls from one service to another.
struct call_edge {
    service_name from;
    service_name to;
    /// Kinds that use this edge; empty: all kinds that reach `from`.
    std::vector<kind_name> kinds;

    friend bool operator==(const call_edge&, const call_edge&) = default;
};

} // namespace trefoil
