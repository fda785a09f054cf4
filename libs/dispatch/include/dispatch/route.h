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
    /// Weight relative to the other services of the route; not negative.
    double weight = 1.0;
};

/// Published configuration of the requests for one host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<route_share> shares;
    /// Whether it is safe to run a request more than once.
    bool idempotent = false;
    /// Time limit for the final response.
    std::chrono::milliseconds timeout{0};
    /// Latency objective: responses within this time have their full value to the caller.
    std::chrono::milliseconds objective{0};
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Maximum number of targets that may receive one request.
    std::uint32_t max_attempts = 1;
};

/// Hash of the route name, which identifies the route in messages between nodes.
std::uint32_t route_key(const std::string& route_name) noexcept;

} // namespace trefoil
