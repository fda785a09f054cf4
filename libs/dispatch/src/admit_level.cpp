#include "dispatch/admit_level.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Exponents of the level by rank. The most urgent keeps the square root; the difference between
/// the others is small, because work of all ranks that is turned away is lost to its caller.
constexpr double most_urgent_exponent = 0.5;
constexpr double exponent_step = 0.1;

} // namespace

void admit_level::observe(std::chrono::nanoseconds wait, std::chrono::nanoseconds hold,
                          mono_time now)
{
    const std::chrono::nanoseconds part(
        static_cast<std::int64_t>(static_cast<double>(hold.count()) * options_.wait_part));
    const auto allowed =
        std::clamp<std::chrono::nanoseconds>(part, options_.least_wait, options_.most_wait);
    shortest_wait_ = shortest_wait_ ? std::min(*shortest_wait_, wait) : wait;
    if (now - interval_start_ < options_.interval) {
        return;
    }
    interval_start_ = now;
    const bool has_standing_queue = *shortest_wait_ > allowed;
    level_ = has_standing_queue ? level_ * (1.0 - options_.decrease) : level_ + options_.increase;
    level_ = std::clamp(level_, options_.floor, 1.0);
    shortest_wait_.reset();
}

double admit_level::share_of_rank(double level, std::uint32_t rank)
{
    const auto exponent = rank == 0 ? most_urgent_exponent : 1.0 + exponent_step * (rank - 1.0);
    return std::pow(level, exponent);
}

} // namespace trefoil
