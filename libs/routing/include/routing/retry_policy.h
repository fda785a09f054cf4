#pragma once

#include "objects/kind.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace trefoil {

/// Result of one attempt.
struct attempt_result {
    outcome result = outcome::unknown;
    refusal_reason reason = refusal_reason::none;
    /// Value of the response header `trefoil-retry-after-ms`.
    std::chrono::milliseconds retry_after{0};
};

/// Target of a retry.
enum class retry_target : std::uint8_t {
    other_target, ///< A target to which this call has not been sent.
    owner,        ///< The owner of the request id again; for once-only work.
};

/// Delay and target of a retry.
struct retry_plan {
    std::chrono::nanoseconds delay{0};
    retry_target target = retry_target::other_target;
};

/// Tuning parameters of retry_policy.
struct retry_policy_options {
    /// Mean delay before the first retry. Doubles with each further retry.
    std::chrono::nanoseconds base_delay = std::chrono::milliseconds(10);
    /// Upper bound of the mean delay, before jitter.
    std::chrono::nanoseconds max_delay = std::chrono::milliseconds(500);
};

/// Decides whether, when and where a call may be retried, based on the result of its last attempt.
/// The caller checks retry_allowance and retry_budget separately.
class retry_policy {
public:
    explicit retry_policy(retry_policy_options options = {}) : options_(options) {}

    /// Whether a request of this kind may be sent again after this result.
    static bool may_retry(const kind& k, const attempt_result& result) noexcept;

    /// Delay and target of the next retry. None if the result must not be retried, or if the delay
    /// is not less than `time_left`. `retries_made` is the number of retries of this call so far.
    /// `random` is a uniformly distributed number from which the jitter is derived: the delay is
    /// between 0.5 and 1.5 times its mean. `retry_after` is added only for a retry at the owner,
    /// because it does not apply to other targets.
    std::optional<retry_plan> plan(const kind& k, const attempt_result& result,
                                   std::uint32_t retries_made, std::chrono::nanoseconds time_left,
                                   std::uint64_t random) const;

private:
    retry_policy_options options_;
};

} // namespace trefoil
