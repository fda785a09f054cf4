#pragma once

#include "objects/load_objects.h"
#include "problem_list.h"

namespace trefoil {

/// Checks the characters, length and uniqueness of names within each object type.
void check_names(const load_result& loaded, problem_list& problems);

/// Checks the ranges of shares, counts, orders and deadlines, and rejects contradictory flags.
void check_values(const load_result& loaded, problem_list& problems);

/// Checks that references between objects resolve, and that the call graph has no cycles and no
/// edges for kinds that cannot reach them.
void check_references(const load_result& loaded, problem_list& problems);

} // namespace trefoil
