#pragma once

#include "callers.h"
#include "run.h"

#include <vector>

namespace trefoil::experiment {

/// Mean bottleneck work, in seconds, of the requests that completed in [from, to).
double completed_bottleneck_work(const topology& model, const std::vector<request_record>& records,
                                 mono_time from, mono_time to);

/// Time from the end of the trigger, `trigger_end`, until the first of four successive windows of
/// 250 ms in each of which at least 95% of the arriving requests complete; nullopt if there are
/// none by `run_end`.
std::optional<std::chrono::milliseconds> recovery_time(const std::vector<request_record>& records,
                                                       mono_time trigger_end, mono_time run_end);

/// Computes the metrics by rank and kind for the requests that arrived in [from, to). `capacity` is
/// that of the bottleneck in seconds of work per second.
void add_service_metrics(const topology& model, const scenario& s,
                         const std::vector<request_record>& records, mono_time from, mono_time to,
                         double capacity, run_metrics& f);

} // namespace trefoil::experiment
