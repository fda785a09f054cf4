#pragma once

#include "decision_log.h"
#include "pending_call.h"
#include "request_stage.h"

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

    /// Logs and counts a caller that closed its connection before the answer, with how far its
    /// request had got.
    void record_departure(const pending_call& call, request_stage stage, double level);

    /// Adds the final answer to a request to the metrics.
    void count(const pending_call& call, outcome result, refusal_reason reason);

private:
    static log_event line_of(const pending_call& call, const char* event, refusal_reason reason,
                             double level, mono_time now);

    decision_log& log_;
    metrics& metrics_;
};

} // namespace trefoil
