#pragma once

#include "base/names.h"

#include <vector>

namespace trefoil {

/// An edge of the call graph: requests of the listed kinds call `to` from `from`.
struct call_edge {
    service_name from;
    service_name to;
    /// Kinds that use this edge. Empty means all kinds that reach `from`.
    std::vector<kind_name> kinds;

    friend bool operator==(const call_edge&, const call_edge&) = default;
};

} // namespace trefoil
