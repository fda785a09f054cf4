#pragma once

#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Whether a request may run.
enum class crash_decision : std::uint8_t {
    run,
    run_alone, ///< Suspect: must not be retried, and no other suspect may run on the target.
    refuse,
};

/// Result of checking a request against the crash records of its content.
struct crash_check_result {
    crash_decision decision = crash_decision::run;
    /// Only for `refuse`: `not_run` if the request was not in flight at any crash, else `unknown`.
    outcome answer = outcome::not_run;
    /// Only for `refuse`: reason reported to the caller.
    refusal_reason reason = refusal_reason::none;
    /// Only for `refuse`: time until the content may be sent again, without jitter.
    std::chrono::nanoseconds retry_after{0};
};

} // namespace trefoil
