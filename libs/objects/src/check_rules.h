#pragma once

#include "objects/load_objects.h"
#include "problem_list.h"

namespace trefoil {

/// Names: characters, length, and uniqueness within each type.
void check_names(const load_result& loaded, problem_list& problems);

/// Numbers: ranges of shares, counts, orders and deadlines, and contradictory flags.
void check_values(const load_result& loaded, problem_list& problems);

/// References between objects, and the call graph they form.
void check_references(const load_result& loaded, problem_list& problems);

} // namespace trefoil
