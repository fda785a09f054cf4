#pragma once

#include "base/names.h"
#include "base/versions.h"
#include "dispatch/route.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace trefoil {

/// Bounds on what a caller may send.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1 << 20;
    /// Longest time from the first byte of a request to the end of its headers.
    std::chrono::milliseconds header_timeout{3000};
    /// Longest time that a kept connection may be idle.
    std::chrono::milliseconds idle_timeout{15000};
};

/// One published version of routes and limits.
struct traffic_config {
    config_version version;
    std::vector<route> routes;
    caller_limits limits;
    /// Paths at which targets answer status checks, by service.
    std::map<service_name, std::string> status_paths{};
};

} // namespace trefoil
