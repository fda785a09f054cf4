#pragma once

#include <cstddef>

namespace trefoil {

/// Bounds of the answers that a process holds, from the memory that it may use. An answer exists up
/// to four times for a moment, as it is parsed, packed and written.
struct answer_limits {
    /// Bytes of one answer.
    std::size_t one;
    /// Bytes of all answers that are being read.
    std::size_t all;

    static answer_limits for_memory(std::size_t memory_bytes)
    {
        constexpr std::size_t one_part = 16;
        constexpr std::size_t all_part = 4;
        return {memory_bytes / one_part, memory_bytes / all_part};
    }
};

} // namespace trefoil
