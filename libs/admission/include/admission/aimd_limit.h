#pragma once

#include "admission/concurrency_limit.h"
#include "admission/limit_bounds.h"

#include <cstdint>

namespace trefoil {

/// Tuning parameters of aimd_limit.
struct aimd_options {
    limit_bounds bounds;
    /// Factor by which the limit is multiplied on overload.
    double decrease = 0.9;
    /// A mean ratio of latency to baseline above this value counts as overload. With 2, the limit
    /// settles 50% above the actual capacity; with 1.5, it stays below the capacity of an upstream
    /// that has 50% more slots than configured.
    double tolerance = 1.7;
};

/// Additive increase, multiplicative decrease (Chiu and Jain, 1989). Per window of as many
/// completions as the limit, the limit grows by one while it is reached, and decreases at most once
/// if the upstream sheds load or its latency exceeds the baseline by `tolerance`.
class aimd_limit {
public:
    explicit aimd_limit(std::uint32_t slots) : aimd_limit(slots, {}) {}
    aimd_limit(std::uint32_t slots, aimd_options options);

    void observe(const limit_sample& sample);
    void restart(std::uint32_t slots);
    std::uint32_t current() const noexcept { return static_cast<std::uint32_t>(limit_); }

private:
    aimd_options options_;
    std::uint32_t slots_ = 1;
    double limit_ = 1.0;
    /// Exponentially weighted mean of duration / baseline.
    double latency_ratio_ = 1.0;
    /// Completions since the last decrease.
    std::uint32_t since_decrease_ = 0;
};

static_assert(concurrency_limit<aimd_limit>);

} // namespace trefoil
