#pragma once

#include "decision_log.h"
#include "pending_call.h"

#include "metrics/metrics.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

namespace trefoil {

/// Log lines and counters about the requests that begin on this VM.
class call_report {
public:
    call_report(decision_log& log, metrics& counters) : log_(log), metrics_(counters) {}

    /// Writes a line about a decision, with what it was made on.
    void line(const pending_call& call, const char* event, refusal_reason reason, double level);

    /// Counts a final answer.
    void count(const pending_call& call, outcome told, refusal_reason reason);

private:
    decision_log& log_;
    metrics& metrics_;
};

} // namespace trefoil
