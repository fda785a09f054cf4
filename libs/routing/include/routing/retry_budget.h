#pragma once

#include <cstdint>

namespace trefoil {

/// Tuning parameters of retry_budget.
struct retry_budget_options {
    /// Retries added per 100 first attempts.
    std::uint32_t percent = 10;
    /// Capacity of the bucket in retries. Also its initial content, so that a node with few calls
    /// can retry.
    std::uint32_t burst = 10;
};

/// Token bucket that limits the retries of one node to a fraction of its first attempts. First
/// attempts add tokens, retries consume them. Not thread-safe.
class retry_budget {
public:
    /// Starts with a full bucket.
    explicit retry_budget(retry_budget_options options = {}) noexcept;

    /// Records the first attempt of an outbound call.
    void first_attempt() noexcept;

    /// Deducts one retry. Returns false without effect if less than one is available.
    bool consume_retry() noexcept;

    /// Number of whole retries available.
    std::uint32_t available() const noexcept { return balance_hundredths_ / 100; }

private:
    retry_budget_options options_;
    std::uint32_t balance_hundredths_;
};

} // namespace trefoil
