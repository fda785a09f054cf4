#pragma once

#include "base/time.h"
#include "dispatch/target_load.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Tuning of an admit_level.
struct admit_level_options {
    /// The level changes once per interval, of which several fit into the time until a change at
    /// the first hop shows at the deepest service.
    std::chrono::milliseconds interval{50};
    /// Time that a request waits for a slot when the level stays. Long enough for a queue of a few,
    /// so that no slot idles between two requests; short enough that the five calls in a row of a
    /// request spend under a quarter of a timeout of 1.2 s on waiting.
    std::chrono::milliseconds wanted_wait{55};
    /// Bounds of the occupancy (requests that run or wait for each slot) that the wait amounts to.
    /// The requests at a target vary by about the square root of its slots: with fewer than this
    /// many deviations beyond the slots, chance alone leaves slots idle. The queue holds four more
    /// for each slot.
    double spare_deviations = 2.0;
    double most_occupancy = 2.0;
    /// Relative change of the level in one interval for each request per slot that is missing. A
    /// change shows after several intervals; more overshoots in the replay.
    double raise_gain = 0.02;
    /// The same for each request per slot beyond.
    double lower_gain = 0.02;
    /// Below this occupancy slots idle, and the level rises faster, by this gain more. In the
    /// replay half the gain takes longer than 2 s to recover from the floor.
    double idle_occupancy = 0.8;
    double idle_gain = 0.2;
    /// Largest relative change in one interval.
    double largest_change = 0.15;
    /// Relative change for the growth of the occupancy in the interval, which shows a queue before
    /// it is long. From the replay, where 0.5 and 1.0 differ little.
    double growth_gain = 0.7;
    /// Keeps some requests coming, without which recovery would go unnoticed.
    double floor = 0.05;
};

/// The share of new requests that a target can take, in [floor, 1].
///
/// Load pattern: demand stays above the capacity of the deepest service for seconds. The requests
/// that run or wait there for each of its slots show it long before requests fail, so the level
/// follows their mean over short intervals: a burst that the queue absorbs hardly moves it. Nodes
/// compare the level at the first hop, where refusing wastes no work.
class admit_level {
public:
    explicit admit_level(admit_level_options options = {}) : options_(options) {}

    /// Takes in the load from `now` on.
    void observe(const target_load& load, mono_time now);

    double value() const noexcept { return level_; }

    /// The admitted share of a rank: more urgent ranks keep more of their requests, without any
    /// rank being shut out.
    static double share_of_rank(double level, std::uint32_t rank);

private:
    void end_interval(mono_time now);
    double wanted_occupancy() const;

    admit_level_options options_;
    double level_ = 1.0;
    /// Occupancy since `since_`.
    double occupancy_ = 0.0;
    std::chrono::milliseconds hold_{0};
    std::uint32_t slots_ = 1;
    mono_time since_;
    /// Integral of the occupancy over the interval, in seconds.
    double integral_ = 0.0;
    mono_time interval_start_;
    double last_mean_ = 0.0;
};

} // namespace trefoil
