#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// How started work ended.
enum class completion_result : std::uint8_t {
    ok,     ///< The upstream answered.
    shed,   ///< The upstream refused before it ran the work.
    failed, ///< No answer. Says nothing about the upstream's normal latency.
};

/// End of started work as the node observed it.
struct completion {
    /// Time from hand-off to the upstream until the end.
    std::chrono::nanoseconds duration{0};
    completion_result result = completion_result::ok;
};

} // namespace trefoil
