#pragma once

#include "admission/policy_index.h"
#include "wire/refusal_reason.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Refusals since start for one rank, group and reason.
struct refusal_count {
    rank_index rank;
    group_index group;
    refusal_reason reason = refusal_reason::none;
    std::uint64_t count = 0;

    friend bool operator==(const refusal_count&, const refusal_count&) = default;
};

/// State of admission for status pages and metrics.
struct admission_snapshot {
    /// Requests that may run at once now, cold-start ramp included.
    std::uint32_t limit = 0;
    std::uint32_t in_flight = 0;
    /// Waiting requests, by rank index.
    std::vector<std::size_t> queued_by_rank;
    /// Requests started since start, by rank index.
    std::vector<std::uint64_t> started_by_rank;
    /// Only combinations that occurred. Includes queued work that its caller cancelled.
    std::vector<refusal_count> refusals;
};

} // namespace trefoil
