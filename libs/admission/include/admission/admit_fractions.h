#pragma once

#include "admission/policy_index.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Tuning of admit_fractions.
struct admit_fraction_options {
    /// Fractions change once per interval.
    std::chrono::milliseconds interval{50};
    /// Part of a flow's refused share by which its fraction falls in one interval.
    double decrease = 0.5;
    /// Added in each interval without a refusal: from the floor to 1 in 1.25 s.
    double increase = 0.04;
    /// Added instead while the target has idle slots and nothing waits: from the floor to 1 in
    /// 0.25 s.
    double spare_increase = 0.2;
    /// Keeps a trickle of a refused flow coming, without which it could not recover.
    double floor = 0.01;
};

/// The share of each (kind, group) that this target currently admits, in [floor, 1]. Falls
/// multiplicatively while the flow is refused and rises additively otherwise. Callers' nodes refuse
/// by it at the first hop.
class admit_fractions {
public:
    admit_fractions(std::size_t kinds, std::size_t groups, admit_fraction_options options = {});

    /// Counts one request of the flow that was offered.
    void count_offered(kind_index kind, group_index group);
    /// Counts one request of the flow that was refused for lack of capacity.
    void count_refused(kind_index kind, group_index group);

    /// Applies the intervals that have ended by `now`. `spare` tells that the target has idle
    /// slots.
    void advance(mono_time now, bool spare);

    double fraction(kind_index kind, group_index group) const;

    /// Sets the fraction of a flow, clamped to [floor, 1]; used to carry it into a new policy.
    void set_fraction(kind_index kind, group_index group, double fraction);

    /// Continues the interval of `other`.
    void adopt_interval(const admit_fractions& other) { interval_end_ = other.interval_end_; }

    /// Whether a fraction is still below 1, so that `advance` has work when the interval ends.
    bool recovering() const;
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

/// Whether the first hop lets a request with this admit point pass, given the smallest fraction of
/// the services on its path.
constexpr bool first_hop_admits(double admit_point, double smallest_fraction) noexcept
{
    return admit_point < smallest_fraction;
}

} // namespace trefoil
