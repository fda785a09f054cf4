#pragma once

#include "admission/concurrency_limit.h"
#include "admission/limit_bounds.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

struct queue_delay_options {
    limit_bounds bounds;
    /// Mean delay above the baseline that is accepted as short queueing in the upstream.
    std::chrono::milliseconds target{5};
    std::chrono::milliseconds interval{100};
    /// Factor of one decrease.
    double decrease = 0.9;
};

/// Keeps the delay that work spends queued inside the upstream near a target: in each interval the
/// limit falls by a factor if the mean delay above the baseline exceeds the target or the upstream
/// shed, and otherwise grows by one if it was reached.
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
    bool limited_ = false;
};

static_assert(concurrency_limit<queue_delay_limit>);

} // namespace trefoil
