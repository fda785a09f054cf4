#pragma once

#include "base/time.h"
#include "once/id_ledger.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <variant>

namespace trefoil {

/// The request may wait for a slot; begin_hand_off() decides.
struct proceed {};

/// The work has run; send this answer.
struct replay {
    stored_answer answer;
};

/// The work is not handed off. Reason `malformed` is sent as a 4xx.
struct refusal {
    outcome told = outcome::unknown;
    refusal_reason reason = refusal_reason::none;
};

/// The hand-off is recorded; write the request now.
struct hand_off {
    /// For `trefoil-expires-at`: the upstream must not start the work after this time.
    wall_time expires_at;
};

using admit_decision = std::variant<proceed, replay, refusal>;
using hand_off_decision = std::variant<hand_off, replay, refusal>;

/// Outcome of a refusal by a node that does not belong to the service that would run the work.
outcome outcome_without_ownership(send_attempt attempt) noexcept;

} // namespace trefoil
