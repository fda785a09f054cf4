#pragma once

#include "base/time.h"
#include "dispatch/call_outcome.h"
#include "dispatch/retry_limiter.h"
#include "dispatch/route.h"

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

/// The chance that a request as a whole succeeds once one of its calls has. `outer` is this chance
/// for the request that makes the call, `call_share` the share of its calls that succeed, and
/// `other_calls` the number of further calls that it needs.
double chance_after_call(double outer, double call_share, double other_calls);

/// The part of the retry limit that a request with this chance of success leaves to others.
///
/// Load pattern: a service fails part of its calls, and a request needs several of them. Its last
/// call saves the work of all others, while the first of many is likely to be followed by another
/// failure. Everything is retried while the limit is hardly used, and only what will probably
/// succeed once little of it is left.
double reserved_share(double chance);

/// Whether a request may be sent to another target after an attempt that ended with `outcome`. A
/// retry after a target received the request is charged to `limiter`, of which `reserved` is left
/// to others; a retry after an attempt that reached no target is not charged. A request that may
/// have run is only retried if its route is idempotent.
bool may_retry(const route& r, call_outcome outcome, const send_history& history,
               retry_limiter& limiter, double reserved, mono_time now);

} // namespace trefoil
