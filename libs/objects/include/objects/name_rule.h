#pragma once

#include <cstddef>
#include <string_view>

namespace trefoil {

/// Maximum length of the name of an object or VM in bytes.
inline constexpr std::size_t max_name_length = 64;

/// Whether a name can be used unescaped in a request header, in a path and in a `service=fraction`
/// list. A valid name has 1 to max_name_length characters from a-z, A-Z, 0-9, '_', '-' and '.', and
/// starts with a letter or digit.
bool is_valid_name(std::string_view name);

} // namespace trefoil
