#pragma once

#include "call.h"

#include "call_io/message.h"
#include "once/once_decision.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <string_view>

namespace trefoil {

/// Answer without a complete result: `not-run` with status 503, `unknown` with 504, and 400 for the
/// reason `malformed`.
call_response refusal_answer(const request_id& id, outcome told, refusal_reason reason,
                             std::chrono::milliseconds retry_after);

/// The upstream's answer, marked as complete.
call_response complete_answer(const request_id& id, call_response from_upstream);

/// Bytes by which the ledger stores a complete answer, and back.
std::string store_answer(const call_response& response);
call_response restore_answer(const request_id& id, std::string_view stored);

/// Outcome that an answer states; an answer without the header is complete.
outcome outcome_of(const call_response& response);

/// Reason that an answer states; `none` if it states none or one of a newer version.
refusal_reason reason_of(const call_response& response);

} // namespace trefoil
