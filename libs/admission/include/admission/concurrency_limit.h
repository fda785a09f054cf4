#pragma once

#include "admission/completion.h"
#include "base/time.h"

#include <chrono>
#include <concepts>
#include <cstdint>

namespace trefoil {

/// Input of a limit algorithm for one completion.
struct limit_sample {
    /// Time of the completion.
    mono_time now;
    /// Time from forwarding the request to the upstream until its completion.
    std::chrono::nanoseconds duration{0};
    /// Estimated duration of requests of the same flow without queueing in the upstream. Equal to
    /// `duration` if the flow was removed from the policy.
    std::chrono::nanoseconds baseline{0};
    /// Requests in flight at the completion, including this one.
    std::uint32_t in_flight = 0;
    /// Whether the number of requests in flight had reached the limit.
    bool limit_reached = false;
    completion_result result = completion_result::ok;
};

/// Adaptive limit of the number of concurrent requests. It is constructed from the configured
/// number of slots and reset with `restart` when that number changes. `observe` processes one
/// completion. `current` returns the limit, which is at least 1.
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
