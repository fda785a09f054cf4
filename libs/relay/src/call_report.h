#pragma once

#include "decision_log.h"
#include "pending_call.h"

#include "metrics/metrics.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

namespace trefoil {

/// Writes log lines and counters about the requests that enter at this node.
class call_report {
public:
    call_report(decision_log& log, metrics& counters) : log_(log), metrics_(counters) {}

    /// Logs a decision about a request, with the data that it was based on.
    void log_decision(const pending_call& call, const char* event, refusal_reason reason,
                      double level);

    /// Adds the final answer to a request to the metrics.
    void count(const pending_call& call, outcome result, refusal_reason reason);

private:
    decision_log& log_;
    metrics& metrics_;
};

} // namespace trefoil
