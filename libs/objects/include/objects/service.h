#pragma once

#include "base/names.h"

#include <cstdint>

namespace trefoil {

/// A service. Its upstream instances, called targets, are interchangeable.
struct service {
    service_name name;
    /// Maximum number of requests that one target executes concurrently.
    std::uint32_t slots = 1;
    /// Maximum number of connections that one target accepts.
    std::uint32_t connections = 1;

    friend bool operator==(const service&, const service&) = default;
};

} // namespace trefoil
