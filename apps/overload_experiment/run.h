#pragma once

#include "scenario.h"
#include "topology.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoil::experiment {

/// Results of one kind during the trigger.
struct kind_metrics {
    std::string kind;
    /// Fraction of its requests that completed.
    double served = 0.0;
    /// Ratio of the completed requests to the fair share or the demand, whichever is smaller.
    double of_fair_share = 0.0;
};

/// Metrics of one run.
struct run_metrics {
    std::string topology;
    std::string scenario;
    /// `off` or the name of the limit algorithm.
    std::string control;
    /// Bottleneck work of the requests that completed from 1 s after the start of the trigger until
    /// its end, as a ratio to the measured capacity.
    double goodput = 0.0;
    /// Time from the end of the trigger until at least 95% of the requests complete for one second;
    /// nullopt if that does not happen within the run.
    std::optional<std::chrono::milliseconds> recovery;
    /// Fraction of the requests of each rank that completed, most urgent rank first.
    std::vector<double> served_by_rank;
    /// Fraction of the requests that completed, over all kinds whose rank has a share.
    double guaranteed_served = 0.0;
    /// Mean time, in milliseconds, until a request of the most urgent rank completed, including its
    /// retries.
    double urgent_ms = 0.0;
    /// Minimum of of_fair_share over the kinds whose rank has a share, except the flooding kind.
    double min_of_fair_share = 0.0;
    std::vector<kind_metrics> kinds;
    /// Fraction of the upstreams' work that was done for requests that did not complete.
    double wasted_work = 0.0;
    /// Calls received by the bottleneck during the whole run, per request whose path includes it.
    double bottleneck_attempts = 0.0;
    /// Concurrency limit of the bottleneck at the end of the trigger; 0 without control.
    std::uint32_t limit = 0;
};

/// Maximum closed-loop throughput of the bottleneck without control, in seconds of work per second.
double measure_capacity(const topology& model, double real_slots, std::uint64_t seed);

/// Runs a scenario; `control` is `off` or the name of a limit algorithm.
run_metrics run_scenario(const topology& model, const scenario& s, const std::string& control,
                         double capacity, std::uint64_t seed);

} // namespace trefoil::experiment
