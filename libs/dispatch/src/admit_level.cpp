#include "dispatch/admit_level.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Exponents that are applied to the level by rank. Rank 0 gets the square root of the level; the
/// other ranks differ little, because a rejected request of any rank is lost to its caller.
constexpr double most_urgent_exponent = 0.5;
constexpr double exponent_step = 0.1;

double seconds(mono_time::duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

void admit_level::observe(const target_load& load, mono_time now)
{
    integral_ += occupancy_ * seconds(now - since_);
    since_ = now;
    if (now - interval_start_ >= options_.interval) {
        end_interval(now);
    }
    hold_ = load.hold;
    slots_ = std::max(1U, load.limit);
    occupancy_ = static_cast<double>(load.running + load.waiting) / slots_;
}

double admit_level::desired_occupancy() const
{
    const auto wait = std::chrono::duration<double>(options_.desired_wait);
    const auto hold = std::chrono::duration<double>(std::max(hold_, std::chrono::milliseconds(1)));
    const auto min_occupancy =
        1.0 + options_.margin_deviations / std::sqrt(static_cast<double>(slots_));
    return std::clamp(1.0 + wait / hold, min_occupancy,
                      std::max(min_occupancy, options_.max_occupancy));
}

void admit_level::end_interval(mono_time now)
{
    const auto mean = integral_ / seconds(now - interval_start_);
    const auto missing = desired_occupancy() - mean;
    const auto idle = std::max(0.0, options_.idle_occupancy - mean);
    const std::chrono::duration<double> interval = options_.interval;
    const auto gain = missing > 0.0 ? options_.raise_gain : options_.lower_gain;
    const auto growth = mean > 1.0 ? mean - std::max(1.0, last_mean_) : 0.0;
    const auto growth_gain = options_.growth_gain * std::min(1.0, hold_ / interval);
    const auto change =
        std::clamp(gain * missing + options_.idle_gain * idle - growth_gain * growth,
                   -options_.max_change, options_.max_change);
    level_ = std::clamp(level_ * (1.0 + change), options_.min_level, 1.0);
    last_mean_ = mean;
    integral_ = 0.0;
    interval_start_ = now;
}

double admit_level::share_of_rank(double level, std::uint32_t rank)
{
    const auto exponent = rank == 0 ? most_urgent_exponent : 1.0 + exponent_step * (rank - 1.0);
    return std::pow(level, exponent);
}

} // namespace trefoil
