#pragma once

#include "run.h"

#include <string>
#include <vector>

namespace trefoil::experiment {

/// Describes, one a line, the metrics of a run that miss a performance target of the design page,
/// section 1.2. The scenarios with a slow service or a wrong slot count have no goodput target.
std::vector<std::string> missed_targets(const run_metrics& f);

} // namespace trefoil::experiment
