#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace trefoil {

/// Maximum number of dots in one TOML key. The fields of objects need none.
inline constexpr std::size_t max_key_dots = 16;

/// Returns the 1-based line of the first key with more than max_key_dots dots, if there is one.
/// toml++ 3.3 creates a nested table for each part of a key and destroys the tables recursively, so
/// a key with a hundred thousand parts would overflow the stack.
std::optional<std::uint32_t> find_deep_key(std::string_view toml_text);

} // namespace trefoil
