#pragma once

#include <cstddef>

namespace trefoil {

/// Max bytes that the input buffer of an HTTP connection holds. Bodies are moved out as they
/// arrive, so this bounds what the parser takes only once it is complete: a head, a chunk header or
/// a trailer section.
inline constexpr std::size_t max_input_buffer_bytes = std::size_t{64} * 1024;

} // namespace trefoil
