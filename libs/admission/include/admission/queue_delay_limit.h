#pragma once

#include "admission/concurrency_limit.h"
#include "admission/limit_bounds.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Tuning parameters of queue_delay_limit.
struct queue_delay_options {
    limit_bounds bounds;
    /// Accepted mean queueing delay in the upstream, measured as duration - baseline.
    std::chrono::milliseconds target{5};
    /// Time between updates of the limit.
    std::chrono::milliseconds interval{100};
    /// Factor by which the limit is multiplied on overload.
    double decrease = 0.9;
};

/// Keeps the queueing delay in the upstream near a target. At the end of each interval, the limit
/// is multiplied by `decrease` if the mean queueing delay exceeds the target or the upstream shed
/// load. Otherwise it grows by one if it was reached in the interval.
class queue_delay_limit {
public:
    explicit queue_delay_limit(std::uint32_t slots) : queue_delay_limit(slots, {}) {}
    queue_delay_limit(std::uint32_t slots, queue_delay_options options);

    void observe(const limit_sample& sample);
    void restart(std::uint32_t slots);
    std::uint32_t current() const noexcept { return static_cast<std::uint32_t>(limit_); }

private:
    queue_delay_options options_;
    std::uint32_t slots_ = 1;
    double limit_ = 1.0;
    mono_time interval_end_{};
    std::chrono::nanoseconds excess_sum_{0};
    std::uint32_t samples_ = 0;
    bool shed_ = false;
    bool limit_reached_ = false;
};

static_assert(concurrency_limit<queue_delay_limit>);

} // namespace trefoil
