#pragma once

#include <cstddef>

namespace trefoil {

/// Limits of the answers and requests that a process buffers, derived from its memory limit. Up to
/// four copies of an answer exist at a time, while it is parsed, packed and written.
struct answer_limits {
    /// Max bytes of one answer.
    std::size_t one;
    /// Max total bytes of all answers that are being read.
    std::size_t all;
    /// Max total body bytes of all requests for the target.
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
