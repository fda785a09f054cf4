#pragma once

#include "run.h"

#include <string>
#include <vector>

namespace trefoil::experiment {

/// The figures of a run that miss a target of the design page, section 1.2, as lines of text. The
/// slow service and the wrong slot figures have no goodput target.
std::vector<std::string> missed_targets(const run_figures& f);

} // namespace trefoil::experiment
