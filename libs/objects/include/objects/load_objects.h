#pragma once

#include "objects/object_location.h"
#include "objects/object_set.h"
#include "objects/problem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Objects read from one or more TOML texts, with the problems found while reading.
struct load_result {
    object_set objects;
    std::vector<problem> problems;
    /// Empty if the set was not read from text; problems then have no line numbers.
    object_locations locations;
    /// Total size of the texts in bytes.
    std::size_t bytes = 0;
    /// At least one text was too large or could not be parsed, so objects are missing from the set.
    bool incomplete = false;
};

/// Reads objects from TOML text and appends them to `result`. `file` is used only as the source
/// name in problems. Invalid input is reported as problems, never as an exception. A `[bundle]`
/// table is ignored.
void load_objects(std::string_view toml_text, const std::string& file, load_result& result);

} // namespace trefoil
