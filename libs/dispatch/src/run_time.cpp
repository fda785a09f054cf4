#include "dispatch/run_time.h"

#include <cmath>

namespace trefoil {

void run_time::record(std::chrono::duration<double> time, double weight)
{
    if (mean.count() == 0.0) {
        mean = time;
        return;
    }
    const std::chrono::duration<double> distance(std::abs((time - mean).count()));
    mean += weight * (time - mean);
    deviation += weight * (distance - deviation);
}

double run_time::chance_to_exceed(std::chrono::duration<double> limit) const
{
    // A normal distribution has a standard deviation of 1.25 times its mean absolute deviation, and
    // the logistic function with a slope of 1.7 approximates its tail within 0.01.
    constexpr double deviations_per_sigma = 1.25;
    constexpr double logistic_slope = 1.7;
    if (deviation.count() == 0.0) {
        return mean > limit ? 1.0 : 0.0;
    }
    const auto sigmas = (limit - mean) / (deviations_per_sigma * deviation);
    return 1.0 / (1.0 + std::exp(logistic_slope * sigmas));
}

} // namespace trefoil
