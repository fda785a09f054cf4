#pragma once

#include <cstddef>

namespace trefoil {

/// Bounds of the answers and requests that a process holds for its target, from the memory that it
/// may use. An answer exists up to four times for a moment, as it is parsed, packed and written.
struct answer_limits {
    /// Bytes of one answer.
    std::size_t one;
    /// Bytes of all answers that are being read.
    std::size_t all;
    /// Bytes of the bodies of all requests for the target.
    std::size_t bodies;

    static answer_limits for_memory(std::size_t memory_bytes)
    {
        constexpr std::size_t one_part = 16;
        constexpr std::size_t all_part = 4;
        constexpr std::size_t bodies_part = 8;
        return {memory_bytes / one_part, memory_bytes / all_part, memory_bytes / bodies_part};
    }
};

} // namespace trefoil
