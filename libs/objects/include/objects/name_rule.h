#pragma once

#include <cstddef>
#include <string_view>

namespace trefoil {

/// Longest name of an object or VM.
inline constexpr std::size_t max_name_length = 64;

/// Whether a name can stand in a request header, in a path and in a `service=fraction` list: 1 to
/// max_name_length letters a-z of either case, digits, '_', '-' or '.', the first a letter or
/// digit.
bool is_valid_name(std::string_view name);

} // namespace trefoil
