#pragma once

#include "call.h"

#include "call_io/message.h"
#include "once/once_decision.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <string_view>

namespace trefoil {

/// Answer without a complete result: status 503 for `not-run`, 504 for `unknown`, and 400 for the
/// reasons `malformed` and `unknown-object`.
call_response refusal_answer(const request_id& id, outcome reported, refusal_reason reason,
                             std::chrono::milliseconds retry_after);

/// The upstream's answer with the outcome `complete`.
call_response complete_answer(const request_id& id, call_response from_upstream);

/// Serializes a complete answer for the ledger: the status, a line feed and the body.
std::string store_answer(const call_response& response);
/// Restores an answer from the result of store_answer().
call_response restore_answer(const request_id& id, std::string_view stored);

/// Outcome in the answer's header; an answer without the header is complete.
outcome outcome_of(const call_response& response);

/// Reason in the answer's header; `none` if there is none, or one that this version does not
/// define.
refusal_reason reason_of(const call_response& response);

} // namespace trefoil
