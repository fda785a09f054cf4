#pragma once

#include "run.h"

#include <ostream>
#include <vector>

namespace trefoil::experiment {

/// Prints a table with one line for each run.
void print_table(std::ostream& out, const std::vector<run_metrics>& results);
/// Prints all metrics and the seed as a JSON object.
void print_json(std::ostream& out, const std::vector<run_metrics>& results, std::uint64_t seed);

} // namespace trefoil::experiment
