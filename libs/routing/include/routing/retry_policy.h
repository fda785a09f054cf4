#pragma once

#include "objects/kind.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace trefoil {

/// How one attempt ended.
struct attempt_result {
    outcome result = outcome::unknown;
    refusal_reason reason = refusal_reason::none;
    /// `trefoil-retry-after-ms` of the answer.
    std::chrono::milliseconds retry_after{0};
};

/// Where a retry may go.
enum class retry_target : std::uint8_t {
    another, ///< A target that this call has not tried.
    owner,   ///< The owner of the id again: once-only work.
};

struct retry_plan {
    std::chrono::nanoseconds delay{0};
    retry_target target = retry_target::another;
};

struct retry_policy_options {
    /// Mean delay before the first retry; doubles with each further one.
    std::chrono::nanoseconds base_delay = std::chrono::milliseconds(10);
    std::chrono::nanoseconds largest_delay = std::chrono::milliseconds(500);
};

/// Decides whether an attempt's outcome may be retried. Allowance and budget are asked separately.
class retry_policy {
public:
    explicit retry_policy(retry_policy_options options = {}) : options_(options) {}

    /// Whether work of this kind may be sent again after such an outcome.
    static bool may_retry(const kind& k, const attempt_result& result) noexcept;

    /// When and where to send again. None if the outcome must not be retried, or if the delay would
    /// use up `time_left`. `retries_made` counts the retries of this call so far; `random` is a
    /// uniformly distributed number. The delay is spread over half to one and a half of its mean.
    /// Only the owner's `retry_after` is awaited, since another target is not the one that asked.
    std::optional<retry_plan> plan(const kind& k, const attempt_result& result,
                                   std::uint32_t retries_made, std::chrono::nanoseconds time_left,
                                   std::uint64_t random) const;

private:
    retry_policy_options options_;
};

} // namespace trefoil
