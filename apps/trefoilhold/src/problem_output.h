#pragma once

#include "objects/problem.h"
#include "output.h"

#include <vector>

namespace trefoil {

/// Writes problems one a line to `err`, or, if `json`, as an object {"ok", "problems"} to `out`.
void write_problems(const std::vector<problem>& problems, bool json, const output& to);

} // namespace trefoil
