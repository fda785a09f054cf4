#pragma once

#include "objects/object_set.h"
#include "objects/problem.h"

#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Objects read from one or more TOML texts, with every problem found while reading.
struct load_result {
    object_set objects;
    std::vector<problem> problems;
};

/// Reads objects from TOML text and adds them to `result`. `file` only names the source in
/// problems. Never throws on bad input: each fault becomes a problem. A `[bundle]` table is
/// skipped.
void load_objects(std::string_view toml_text, const std::string& file, load_result& result);

} // namespace trefoil
