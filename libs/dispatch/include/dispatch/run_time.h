#pragma once

#include <chrono>

namespace trefoil {

/// Smoothed run time of the requests of one route at one target.
struct run_time {
    std::chrono::duration<double> mean{0.0};
    /// Mean absolute deviation from the mean.
    std::chrono::duration<double> deviation{0.0};

    /// Includes a further run time. `weight` is the weight of a new value in the smoothed ones.
    void record(std::chrono::duration<double> time, double weight);

    /// Estimated chance that a request runs for longer than this.
    double chance_to_exceed(std::chrono::duration<double> limit) const;
};

} // namespace trefoil
