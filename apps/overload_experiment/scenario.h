#pragma once

#include "topology.h"

#include <chrono>
#include <string>
#include <vector>

namespace trefoil::experiment {

/// Load pattern of one run: a baseline phase, a trigger phase with overload, and a recovery phase
/// with the baseline demand.
struct scenario {
    std::string name;
    std::chrono::milliseconds baseline{3000};
    std::chrono::milliseconds trigger{5000};
    std::chrono::milliseconds recovery{6000};
    /// Demand of each kind, in requests per second, outside and during the trigger phase.
    std::vector<double> baseline_rate;
    std::vector<double> trigger_rate;
    /// Factor by which the work of each call at the bottleneck increases during the trigger.
    double work_factor = 1.0;
    /// Ratio of the real slots of the bottleneck's upstream to the configured slots.
    double real_slots = 1.0;
    /// Kind whose demand is raised far above its capacity; SIZE_MAX if none.
    std::size_t flooding_kind = static_cast<std::size_t>(-1);
};

/// The scenarios of the design page for a topology, and two with a wrong configured slot count.
std::vector<scenario> make_scenarios(const topology& model);

} // namespace trefoil::experiment
