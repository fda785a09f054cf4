#pragma once

#include "objects/object_location.h"
#include "objects/object_set.h"
#include "objects/problem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Objects read from one or more TOML texts, with every problem found while reading.
struct load_result {
    object_set objects;
    std::vector<problem> problems;
    /// May be empty when the set was not read from text; problems then carry no lines.
    object_locations locations;
    /// Size of all texts read.
    std::size_t bytes = 0;
    /// A text was not valid TOML, so that some objects are missing from the set.
    bool incomplete = false;
};

/// Reads objects from TOML text and adds them to `result`. `file` only names the source in
/// problems. Never throws on bad input: each fault becomes a problem. A `[bundle]` table is
/// skipped.
void load_objects(std::string_view toml_text, const std::string& file, load_result& result);

} // namespace trefoil
