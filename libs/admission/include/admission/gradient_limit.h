#pragma once

#include "admission/concurrency_limit.h"
#include "admission/limit_bounds.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Tuning parameters of gradient_limit.
struct gradient_options {
    limit_bounds bounds;
    /// Ratio of latency to baseline above which the limit decreases.
    double tolerance = 1.5;
    /// Weight of the new limit in the exponential smoothing.
    double smoothing = 0.2;
    /// Number of completions per update, as a multiple of the limit; at least 10 completions.
    double update_window = 1.0;
};

/// Gradient-based limit. Each update multiplies the limit by the ratio of baseline to measured
/// latency and adds a headroom of the square root of the limit, which probes for more capacity.
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
    bool limit_reached_ = false;
};

static_assert(concurrency_limit<gradient_limit>);

} // namespace trefoil
