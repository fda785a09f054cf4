#pragma once

#include "base/time.h"
#include "once/id_ledger.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <variant>

namespace trefoil {

/// The request may wait for a slot; begin_hand_off() decides.
struct proceed {};

/// The work has already run; `answer` is the stored answer to send.
struct replay {
    stored_answer answer;
};

/// The work is not handed off. `reported` is the outcome sent to the caller; reason `malformed` is
/// sent as a 4xx status.
struct refusal {
    outcome reported = outcome::unknown;
    refusal_reason reason = refusal_reason::none;
};

/// The hand-off is recorded; the request must be written to the upstream now.
struct hand_off {
    /// Value of `trefoil-expires-at`: the upstream must not start the work after this time.
    wall_time expires_at;
};

using admit_decision = std::variant<proceed, replay, refusal>;
using hand_off_decision = std::variant<hand_off, replay, refusal>;

/// Outcome to report when a node that does not own the id refuses it: `not-run` for a first send,
/// `unknown` for a repeat, since an earlier send may have run on the owner.
outcome outcome_without_ownership(send_attempt attempt) noexcept;

} // namespace trefoil
