#pragma once

#include "admission/completion.h"
#include "base/time.h"

#include <chrono>
#include <concepts>
#include <cstdint>

namespace trefoil {

/// One completion as a limit algorithm sees it.
struct limit_sample {
    mono_time now;
    /// Time from hand-off to completion.
    std::chrono::nanoseconds duration{0};
    /// Duration of the same flow without queueing in the upstream.
    std::chrono::nanoseconds baseline{0};
    /// Requests in flight when this one ended, itself included.
    std::uint32_t in_flight = 0;
    /// The limit was reached when this one ended.
    bool limited = false;
    completion_result result = completion_result::ok;
};

/// Learns how many requests may run at once. Starts from the configured slots, and again with
/// `restart` when they change. A constructor from the slots alone is required. `current` is at
/// least 1.
template<class Limit>
concept concurrency_limit = std::constructible_from<Limit, std::uint32_t> &&
    requires(Limit limit, const Limit& constant, const limit_sample& sample, std::uint32_t slots)
{
    {
        limit.observe(sample)
        } -> std::same_as<void>;
    {
        limit.restart(slots)
        } -> std::same_as<void>;
    {
        constant.current()
        } -> std::same_as<std::uint32_t>;
};

} // namespace trefoil
