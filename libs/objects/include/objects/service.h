#pragma once

#include "base/names.h"

#include <cstdint>

namespace trefoil {

/// A service whose upstreams (its targets) all do the same work.
struct service {
    service_name name;
    /// Requests that one target runs at once.
    std::uint32_t slots = 1;
    /// Connections that one target accepts.
    std::uint32_t connections = 1;

    friend bool operator==(const service&, const service&) = default;
};

} // namespace trefoil
