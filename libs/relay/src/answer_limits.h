#pragma once

#include <cstddef>

namespace trefoil {

/// Limits of the answers and requests that a process buffers, derived from its memory limit. Up to
/// four copies of an answer exist at a time, while it is parsed, packed and written.
struct answer_limits {
    /// Max bytes of one answer.
    std::size_t max_answer_bytes;
    /// Max total bytes of all answers that are being read.
    std::size_t max_total_answer_bytes;
    /// Max total body bytes of all requests for the target.
    std::size_t max_total_body_bytes;

    static answer_limits for_memory(std::size_t memory_bytes)
    {
        constexpr std::size_t answer_divisor = 16;
        constexpr std::size_t total_answer_divisor = 4;
        constexpr std::size_t total_body_divisor = 8;
        return {memory_bytes / answer_divisor, memory_bytes / total_answer_divisor,
                memory_bytes / total_body_divisor};
    }
};

} // namespace trefoil
