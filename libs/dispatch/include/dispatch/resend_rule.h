#pragma once

#include "dispatch/call_outcome.h"
#include "dispatch/route.h"
#include "routing/retry_budget.h"

#include <cstdint>

namespace trefoil {

/// Sends of one request so far.
struct send_history {
    /// Targets that received it or may have.
    std::uint32_t arrivals = 0;
    /// Nodes that turned it away or could not be reached.
    std::uint32_t detours = 0;
};

/// Detours of one request to other targets; each costs its caller a round trip at most.
inline constexpr std::uint32_t max_detours = 3;

/// Whether a request may be sent to another target after `outcome`. Repeats that a target receives
/// are paid from `budget`; detours are not, since no target saw the request.
///
/// Load pattern: a service that fails part of its requests is offered the repeats of all callers on
/// top of them, and stays overloaded by the repeats. The budget bounds these to a part of the first
/// sends.
bool may_send_again(const route& r, call_outcome outcome, const send_history& history,
                    retry_budget& budget);

} // namespace trefoil
