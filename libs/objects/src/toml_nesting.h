#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace trefoil {

/// Most dots allowed in one TOML key. Objects need none.
inline constexpr std::size_t max_key_dots = 16;

/// Line of the first key with more than max_key_dots dots, if there is one. toml++ 3.3 makes one
/// nested table for each part of a key and destroys them recursively, so that a key with a hundred
/// thousand parts exhausts the stack.
std::optional<std::uint32_t> find_deep_key(std::string_view toml_text);

} // namespace trefoil
