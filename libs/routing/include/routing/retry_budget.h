#pragma once

#include <cstdint>

namespace trefoil {

struct retry_budget_options {
    /// Retries earned by a hundred first attempts.
    std::uint32_t percent = 10;
    /// Retries that can be saved up; also the amount at the start, so that a node with few calls
    /// can retry at all.
    std::uint32_t burst = 10;
};

/// Bounds the retries of one node to a share of its first attempts: a token bucket that first
/// attempts fill. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {}) noexcept;

    /// Counts the first attempt of an outbound call.
    void first_attempt() noexcept;

    /// Pays for one retry. False, without effect, if the budget does not cover it.
    bool spend_retry() noexcept;

    /// Whole retries that the budget covers.
    std::uint32_t available() const noexcept { return hundredths_ / 100; }

private:
    retry_budget_options options_;
    std::uint32_t hundredths_;
};

} // namespace trefoil
