#pragma once

#include "objects/load_objects.h"

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

/// Parses TOML; on a fault records a problem, marks the result incomplete and returns nothing.
std::optional<toml::table> parse_toml(std::string_view text, const std::string& file,
                                      load_result& result);

/// Adds the objects of a parsed text to the result.
void read_objects(const toml::table& root, const std::string& file, load_result& result);

} // namespace trefoil
