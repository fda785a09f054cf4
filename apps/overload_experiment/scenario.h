#pragma once

#include "topology.h"

#include <chrono>
#include <string>
#include <vector>

namespace trefoil::experiment {

/// What happens in one run: a calm time, a trigger, and a time to recover.
struct scenario {
    std::string name;
    std::chrono::milliseconds calm{3000};
    std::chrono::milliseconds trigger{5000};
    std::chrono::milliseconds after{6000};
    /// Demand of each kind in requests per second outside and during the trigger.
    std::vector<double> calm_rate;
    std::vector<double> trigger_rate;
    /// Factor on the work of the bottleneck during the trigger.
    double slowness = 1.0;
    /// Real slots of the bottleneck's upstream as a factor of the configured ones.
    double real_slots = 1.0;
    /// Kind that floods; none: SIZE_MAX.
    std::size_t flooding_kind = static_cast<std::size_t>(-1);
};

/// The scenarios of the design page for a topology, and wrong slot figures.
std::vector<scenario> make_scenarios(const topology& model);

} // namespace trefoil::experiment
