#pragma once

#include "run.h"

#include <ostream>
#include <vector>

namespace trefoil::experiment {

void print_table(std::ostream& out, const std::vector<run_figures>& figures);
void print_json(std::ostream& out, const std::vector<run_figures>& figures, std::uint64_t seed);

} // namespace trefoil::experiment
