#pragma once

#include "dispatch/call_outcome.h"
#include "dispatch/route.h"
#include "routing/retry_budget.h"

#include <cstdint>

namespace trefoil {

/// Attempts to send one request so far.
struct send_history {
    /// Number of targets that received the request or may have received it.
    std::uint32_t received_attempts = 0;
    /// Number of attempts that reached no target: rejected by a node, or unreachable.
    std::uint32_t unexecuted_attempts = 0;
};

/// Maximum number of attempts of one request that reach no target. Each costs the caller at most
/// one round trip.
inline constexpr std::uint32_t max_unexecuted_attempts = 3;

/// Whether a request may be sent to another target after an attempt that ended with `outcome`. A
/// retry after a target received the request is charged to `budget`; a retry after an attempt that
/// reached no target is not. A request that may have run is only retried if its route is
/// idempotent.
///
/// Load pattern: a service that fails a fraction of its requests also gets the retries of all
/// callers, and these keep it overloaded. The budget limits retries to a fraction of the first
/// attempts.
bool may_retry(const route& r, call_outcome outcome, const send_history& history,
               retry_budget& budget);

} // namespace trefoil
