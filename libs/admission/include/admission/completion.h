#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Outcome of started work.
enum class completion_result : std::uint8_t {
    ok,     ///< The upstream sent a response.
    shed,   ///< The upstream refused the request without running it.
    failed, ///< No response was received. The duration is no latency measurement.
};

/// Duration and outcome of started work as observed by the node.
struct completion {
    /// Time from forwarding the request to the upstream until its end.
    std::chrono::nanoseconds duration{0};
    completion_result result = completion_result::ok;
};

} // namespace trefoil
