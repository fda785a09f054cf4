#pragma once

#include "admission/concurrency_limit.h"
#include "admission/limit_bounds.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

struct gradient_options {
    limit_bounds bounds;
    /// Latency may exceed the baseline by this factor before the limit falls.
    double tolerance = 1.5;
    /// Weight of a new value of the limit.
    double smoothing = 0.2;
    /// Completions per step, as a part of the limit.
    double round = 1.0;
};

/// Limit that follows the ratio of baseline to recent latency, plus a headroom of the square root
/// of the limit, by which it probes for more.
class gradient_limit {
public:
    explicit gradient_limit(std::uint32_t slots) : gradient_limit(slots, {}) {}
    gradient_limit(std::uint32_t slots, gradient_options options);

    void observe(const limit_sample& sample);
    void restart(std::uint32_t slots);
    std::uint32_t current() const noexcept { return static_cast<std::uint32_t>(limit_); }

private:
    explicit gradient_limit(gradient_options options) : options_(options) {}
    void step();

    gradient_options options_;
    std::uint32_t slots_ = 1;
    double limit_ = 1.0;
    std::chrono::nanoseconds duration_sum_{0};
    std::chrono::nanoseconds baseline_sum_{0};
    std::uint32_t samples_ = 0;
    std::uint32_t shed_ = 0;
    bool limited_ = false;
};

static_assert(concurrency_limit<gradient_limit>);

} // namespace trefoil
