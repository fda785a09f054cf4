#pragma once

#include "base/names.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

/// One of the services among which a route divides its requests.
struct route_share {
    service_name service;
    /// Share among the services of the route; at least 0.
    double weight = 1.0;
};

/// What the published configuration says about the requests of one host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<route_share> shares;
    /// Whether a request may run more than once.
    bool idempotent = false;
    /// Longest time until the final answer.
    std::chrono::milliseconds timeout{0};
    /// Answers within this time have their full value to the caller.
    std::chrono::milliseconds objective{0};
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Targets that one request may be sent to.
    std::uint32_t max_attempts = 1;
};

/// Stable number of a route, by which nodes name it in messages between them.
std::uint32_t route_key(const std::string& route_name) noexcept;

} // namespace trefoil
