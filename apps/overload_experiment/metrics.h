#pragma once

#include "callers.h"
#include "run.h"

#include <vector>

namespace trefoil::experiment {

/// Seconds of mean bottleneck work of the requests that completed between two times.
double completed_bottleneck_work(const topology& model, const std::vector<request_record>& records,
                                 mono_time from, mono_time to);

/// Time from `over` until the first of four successive windows of 250 ms in which at least 95% of
/// the arriving requests complete.
std::optional<std::chrono::milliseconds> recovery_time(const std::vector<request_record>& records,
                                                       mono_time over, mono_time stop);

/// Fills in the service by rank and kind of the requests that arrived between two times.
void add_service_figures(const topology& model, const scenario& s,
                         const std::vector<request_record>& records, mono_time from, mono_time to,
                         double capacity, run_figures& f);

} // namespace trefoil::experiment
