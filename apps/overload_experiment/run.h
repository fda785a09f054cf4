#pragma once

#include "scenario.h"
#include "topology.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoil::experiment {

/// Service that one kind got during the trigger.
struct kind_figures {
    std::string kind;
    /// Part of its requests that completed.
    double served = 0.0;
    /// Completed requests as a part of the fair share or the whole demand, whichever is smaller.
    double of_fair_share = 0.0;
};

/// Figures of one run.
struct run_figures {
    std::string topology;
    std::string scenario;
    /// `off` or the name of the limit.
    std::string control;
    /// Bottleneck work of whole requests completed during the trigger, from 1 s after its start, as
    /// a ratio to the measured capacity.
    double goodput = 0.0;
    /// From the end of the trigger until at least 95% of requests complete for a second; none if
    /// that does not happen within the run.
    std::optional<std::chrono::milliseconds> recovery;
    /// Part of the requests of each rank that completed, most urgent rank first.
    std::vector<double> served_by_rank;
    double precious_served = 0.0;
    /// Mean time, in milliseconds, until a request of the most urgent rank completed; repeats
    /// included.
    double urgent_ms = 0.0;
    /// Smallest of_fair_share of the kinds that do not flood and are not browsing.
    double smallest_share_kept = 0.0;
    std::vector<kind_figures> kinds;
    /// Part of the upstreams' work that was done for requests that did not complete.
    double wasted_work = 0.0;
    /// Calls at the bottleneck during the whole run per request that passes it.
    double deepest_attempts = 0.0;
    /// Limit at the bottleneck at the end of the trigger; 0 without control.
    std::uint32_t limit = 0;
};

/// Highest closed-loop throughput of the bottleneck without control, in seconds of work per second.
double measure_capacity(const topology& model, double real_slots, std::uint64_t seed);

/// Runs a scenario; `control` is `off` or the name of a limit.
run_figures run_scenario(const topology& model, const scenario& s, const std::string& control,
                         double capacity, std::uint64_t seed);

} // namespace trefoil::experiment
