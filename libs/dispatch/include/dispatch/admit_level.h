#pragma once

#include "base/time.h"
#include "dispatch/target_load.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Tuning of an admit_level.
struct admit_level_options {
    /// Control interval: the level changes once per interval. Several intervals fit into the time
    /// until a change at the entry node affects the load of the deepest service.
    std::chrono::milliseconds interval{50};
    /// Setpoint of the controller: the time that a request waits for a slot while the level stays
    /// unchanged. Long enough for a queue of a few requests, so that no slot idles between two
    /// requests; short enough that five sequential calls of a request spend less than a quarter of
    /// a timeout of 1.2 s on waiting.
    std::chrono::milliseconds desired_wait{55};
    /// Bounds of the desired occupancy (running and waiting requests per slot) that is derived
    /// from `desired_wait`. The number of requests at a target has a standard deviation of about
    /// the square root of its slots; with a margin of fewer than `margin_deviations` standard
    /// deviations above the slots, random variation alone leaves slots idle. The queue holds four
    /// waiting requests per slot.
    double margin_deviations = 2.0;
    double max_occupancy = 2.0;
    /// Relative increase of the level in one interval per unit of occupancy below the desired one.
    /// A change takes effect only after several intervals; a higher gain overshoots in simulation
    /// (deep_service_load_test).
    double raise_gain = 0.02;
    /// Relative decrease of the level in one interval per unit of occupancy above the desired one.
    double lower_gain = 0.02;
    /// Below `idle_occupancy` slots are idle, and `idle_gain` is applied in addition to
    /// `raise_gain`. With half of this gain, recovery from the minimum level takes longer than 2 s
    /// in simulation.
    double idle_occupancy = 0.8;
    double idle_gain = 0.2;
    /// Maximum relative change of the level in one interval.
    double max_change = 0.15;
    /// Relative decrease per unit by which the occupancy grew since the previous interval (the
    /// derivative term), which reacts to a queue before it is long. In simulation 0.5 and 1.0 give
    /// similar results. Requests that run for less than one interval change the occupancy by more
    /// than the excess of arrivals, so the gain is reduced in proportion to their run time.
    double growth_gain = 0.7;
    /// Minimum level. Some requests must still be admitted, or recovery would not be detected.
    double min_level = 0.05;
};

/// Feedback controller for the fraction of new requests that a target can take, in
/// [min_level, 1].
///
/// Load pattern: demand exceeds the capacity of the deepest service for seconds. The occupancy
/// (running and waiting requests per slot) shows this long before requests fail, so the level is
/// controlled by the mean occupancy over short intervals; a burst that the queue absorbs hardly
/// changes it. The level is enforced at the entry node, where a rejection wastes no work.
class admit_level {
public:
    explicit admit_level(admit_level_options options = {}) : options_(options) {}

    /// Records the load that applies from `now` on, and updates the level if an interval has ended.
    void observe(const target_load& load, mono_time now);

    double value() const noexcept { return level_; }

    /// The fraction of the requests of a rank to admit at `level`. More urgent ranks keep a larger
    /// fraction; no rank is rejected entirely.
    static double share_of_rank(double level, std::uint32_t rank);

private:
    void end_interval(mono_time now);
    double desired_occupancy() const;

    admit_level_options options_;
    double level_ = 1.0;
    /// Occupancy from `since_` on.
    double occupancy_ = 0.0;
    std::chrono::milliseconds hold_{0};
    std::uint32_t slots_ = 1;
    mono_time since_;
    /// Time integral of the occupancy over the current interval, in seconds.
    double integral_ = 0.0;
    mono_time interval_start_;
    double last_mean_ = 0.0;
};

} // namespace trefoil
