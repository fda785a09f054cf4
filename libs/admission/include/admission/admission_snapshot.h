#pragma once

#include "admission/policy_index.h"
#include "wire/refusal_reason.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Number of refusals of one rank and group for one reason since the controller was created.
struct refusal_count {
    rank_index rank;
    group_index group;
    refusal_reason reason = refusal_reason::none;
    std::uint64_t count = 0;

    friend bool operator==(const refusal_count&, const refusal_count&) = default;
};

/// State of the admission controller for status pages and metrics.
struct admission_snapshot {
    /// Current concurrency limit, with the cold-start ramp applied.
    std::uint32_t limit = 0;
    /// Requests that are running in the upstream.
    std::uint32_t in_flight = 0;
    /// Number of waiting requests, by rank index.
    std::vector<std::size_t> queued_by_rank;
    /// Number of requests started since the controller was created, by rank index.
    std::vector<std::uint64_t> started_by_rank;
    /// Combinations with a count above 0. Includes queued work that was cancelled by its caller.
    std::vector<refusal_count> refusals;
};

} // namespace trefoil
