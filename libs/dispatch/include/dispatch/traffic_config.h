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

/// Limits on the requests and connections of a caller.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1 << 20;
    /// Maximum time from the first byte of a request to the end of its headers.
    std::chrono::milliseconds header_timeout{3000};
    /// Maximum idle time of a keep-alive connection.
    std::chrono::milliseconds idle_timeout{15000};
};

/// One published version of the routes and limits.
struct traffic_config {
    config_version version;
    std::vector<route> routes;
    caller_limits limits;
    /// Paths of the health checks of targets, by service.
    std::map<service_name, std::string> status_paths{};
};

} // namespace trefoil
