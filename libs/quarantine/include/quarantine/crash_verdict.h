#pragma once

#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

enum class crash_decision : std::uint8_t {
    run,
    run_alone, ///< A suspect: must not be retried, and no other suspect may run on this target.
    refuse,
};

/// What to do with a request in view of the crashes its content was involved in.
struct crash_verdict {
    crash_decision decision = crash_decision::run;
    /// Only for `refuse`: `not_run` if this id was in flight at no crash, else `unknown`.
    outcome answer = outcome::not_run;
    /// Only for `refuse`.
    refusal_reason reason = refusal_reason::none;
    /// Only for `refuse`: time until the content may be tried again, without jitter.
    std::chrono::nanoseconds retry_after{0};
};

} // namespace trefoil
