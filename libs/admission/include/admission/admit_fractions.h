#pragma once

#include "admission/policy_index.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Tuning parameters of admit_fractions.
struct admit_fraction_options {
    /// Time between updates of the fractions.
    std::chrono::milliseconds interval{50};
    /// In each interval with refusals, the fraction is multiplied by 1 - decrease * (refused /
    /// offered).
    double decrease = 0.5;
    /// Added in each interval without a refusal. Raises a fraction from the floor to 1 in 1.25 s.
    double increase = 0.04;
    /// Added instead of `increase` while the target has idle slots and an empty queue. Raises a
    /// fraction from the floor to 1 in 0.25 s.
    double spare_increase = 0.2;
    /// Minimum fraction. Without any admitted requests, a refused flow could not recover.
    double floor = 0.01;
};

/// The fraction of the requests of each flow, a (kind, group) pair, that this target currently
/// admits, in [floor, 1]. It decreases multiplicatively while requests of the flow are refused and
/// increases additively otherwise. Entry nodes refuse requests according to it before they enter
/// the call graph.
class admit_fractions {
public:
    admit_fractions(std::size_t kinds, std::size_t groups, admit_fraction_options options = {});

    /// Counts one offered request of the flow.
    void count_offered(kind_index kind, group_index group);
    /// Counts one request of the flow that was refused because of overload.
    void count_refused(kind_index kind, group_index group);

    /// Updates the fractions if the interval has ended by `now`. `spare` states whether the target
    /// has idle slots and an empty queue.
    void advance(mono_time now, bool spare);

    /// Current fraction of the flow.
    double fraction(kind_index kind, group_index group) const;

    /// Sets the fraction of a flow, clamped to [floor, 1]. Used to keep it across a policy change.
    void set_fraction(kind_index kind, group_index group, double fraction);

    /// Copies the end of the current interval from `other`.
    void copy_interval(const admit_fractions& other) { interval_end_ = other.interval_end_; }

    /// Whether `advance` has fractions to update at the end of the interval: one is below 1, or a
    /// request was refused in this interval.
    bool recovering() const;
    /// End of the current interval.
    mono_time interval_end() const noexcept { return interval_end_; }

private:
    struct flow {
        double fraction = 1.0;
        std::uint32_t offered = 0;
        std::uint32_t refused = 0;
    };

    flow& at(kind_index kind, group_index group);
    const flow& at(kind_index kind, group_index group) const;

    admit_fraction_options options_;
    std::size_t groups_;
    std::vector<flow> flows_;
    mono_time interval_end_{};
};

/// Whether the entry node admits a request with this admit point, given the minimum admit fraction
/// of the services on its path.
constexpr bool entry_admits(double admit_point, double min_fraction) noexcept
{
    return admit_point < min_fraction;
}

} // namespace trefoil
