#pragma once

#include "admission/concurrency_limit.h"
#include "admission/limit_bounds.h"

#include <cstdint>

namespace trefoil {

struct aimd_options {
    limit_bounds bounds;
    /// Factor of one decrease.
    double decrease = 0.9;
    /// A recent mean latency above this multiple of the baseline counts as overload. At 2 the limit
    /// settles half above the real slots; at 1.5 it stops below an upstream that has half more
    /// slots than configured.
    double tolerance = 1.7;
};

/// Additive increase, multiplicative decrease (Chiu and Jain, 1989): one more request per round of
/// completions while the limit is reached, a decrease at most once per round when the upstream
/// sheds or its latency rises well above the baseline.
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
    /// Recent mean of duration over baseline.
    double latency_ratio_ = 1.0;
    /// Completions since the last decrease.
    std::uint32_t since_decrease_ = 0;
};

static_assert(concurrency_limit<aimd_limit>);

} // namespace trefoil
