#include "dispatch/retry_rule.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Requests with at least this chance of success may use the whole retry limit.
constexpr double sufficient_chance = 0.25;

} // namespace

double chance_after_call(double outer, double call_share, double other_calls)
{
    return outer * std::pow(call_share, std::max(0.0, other_calls));
}

double reserved_share(double chance)
{
    return std::max(0.0, 1.0 - chance / sufficient_chance);
}

bool may_retry(const route& r, call_outcome outcome, const send_history& history,
               retry_limiter& limiter, double reserved, mono_time now)
{
    switch (outcome) {
    case call_outcome::answered:
        return false;
    case call_outcome::rejected:
    case call_outcome::unreachable:
        return history.unexecuted_attempts <= max_unexecuted_attempts;
    case call_outcome::no_response:
        if (!r.idempotent) {
            return false;
        }
        break;
    case call_outcome::not_run:
        break;
    }
    return history.received_attempts < r.max_attempts && limiter.take(reserved, now);
}

} // namespace trefoil
