#pragma once

#include "objects/load_objects.h"

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

/// Parses TOML. If the text is too large or invalid, marks the result as incomplete and returns
/// nullopt; invalid text is also reported as a problem.
std::optional<toml::table> parse_toml(std::string_view text, const std::string& file,
                                      load_result& result);

/// Appends the objects of a parsed text to the result.
void read_objects(const toml::table& root, const std::string& file, load_result& result);

} // namespace trefoil
