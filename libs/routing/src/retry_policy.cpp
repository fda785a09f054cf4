#include "routing/retry_policy.h"

#include <algorithm>

namespace trefoil {

namespace {

/// Whether a retry is excluded for this reason: other targets would refuse the request as well, the
/// caller no longer needs a response, or the request may have crashed an upstream.
bool is_final(refusal_reason r) noexcept
{
    switch (r) {
    case refusal_reason::malformed:
    case refusal_reason::unknown_object:
    case refusal_reason::deadline_passed:
    case refusal_reason::admit_fraction: // Depends on id and attempt only; all hops agree.
    case refusal_reason::retry_budget:   // A retry here would bypass that refusal.
    case refusal_reason::no_target:
    case refusal_reason::ownership_uncertain:
    case refusal_reason::already_handed_off:
    case refusal_reason::id_expired:
    case refusal_reason::quarantined:
    case refusal_reason::upstream_crashed: // May crash others; see crash_suspects.
    case refusal_reason::cancelled:
        return true;
    default:
        return false;
    }
}

/// Bounds the shift. More doublings would exceed any useful `max_delay` and overflow.
constexpr std::uint32_t max_doublings = 16;

} // namespace

bool retry_policy::may_retry(const kind& k, const attempt_result& result) noexcept
{
    if (is_final(result.reason)) {
        return false;
    }
    switch (result.result) {
    case outcome::not_run:
        return true;
    case outcome::unknown:
        return k.repeatable && !k.once_only;
    case outcome::complete:
        break;
    }
    return false;
}

std::optional<retry_plan> retry_policy::plan(const kind& k, const attempt_result& result,
                                             std::uint32_t retries_made,
                                             std::chrono::nanoseconds time_left,
                                             std::uint64_t random) const
{
    if (!may_retry(k, result)) {
        return std::nullopt;
    }
    const auto doubled = options_.base_delay * (1U << std::min(retries_made, max_doublings));
    const auto mean = std::min(doubled, options_.max_delay);
    const double jitter = 0.5 + static_cast<double>(random >> 11U) * 0x1.0p-53;
    auto delay = std::chrono::duration_cast<std::chrono::nanoseconds>(mean * jitter);
    if (k.once_only) {
        delay += std::max(result.retry_after, std::chrono::milliseconds(0));
    }
    if (delay >= time_left) {
        return std::nullopt;
    }
    return retry_plan{delay, k.once_only ? retry_target::owner : retry_target::other_target};
}

} // namespace trefoil
