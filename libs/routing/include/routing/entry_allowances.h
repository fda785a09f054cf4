#pragma once

#include "base/request_id.h"
#include "base/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace trefoil {

struct entry_allowances_options {
    /// How long an id may be repeated with what is left of its allowance.
    std::chrono::milliseconds id_lifetime = std::chrono::seconds(30);
    /// Ids created this far in the future are accepted.
    std::chrono::milliseconds clock_skew = std::chrono::milliseconds(500);
    /// Bound on the ids remembered, over all shards. An id for which there is no room gets no
    /// retries, so that forgetting never grants any.
    std::size_t capacity = 32768;
};

/// What a caller states about one send of a request.
struct entry_request {
    request_id id;
    /// `trefoil-attempt`.
    std::uint32_t attempt = 0;
    /// `trefoil-retries-left`, if the caller sent it.
    std::optional<std::uint32_t> retries_left;
    /// The `retries` of the kind.
    std::uint32_t kind_retries = 0;
};

/// What each request id has left of its retry allowance at the node where it entered the call
/// graph, so that a caller's repeats get no new allowance. Thread-safe.
class entry_allowances {
public:
    explicit entry_allowances(entry_allowances_options options = {});

    /// Starts serving a send and returns its allowance: the smallest of what the caller states,
    /// retries - attempt, and what the id has left. The amount is moved out until `finish`. A
    /// repeat costs one retry. An id beyond its lifetime or from the future gets none.
    std::uint32_t begin(const entry_request& request, wall_time now);

    /// Ends a send and stores what it did not use.
    void finish(const request_id& id, std::uint32_t unused);

    /// Removes ids beyond their lifetime. `begin` does the same for the shard it uses.
    void expire(wall_time now);

    std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct shard {
        mutable std::mutex mutex;
        /// Below 0 if repeats began while the allowance was moved out.
        std::unordered_map<request_id, std::int64_t> left;
        /// In order of insertion, with the time at which to forget.
        std::deque<std::pair<wall_time, request_id>> expiry;
    };

    shard& shard_of(const request_id& id) { return shards_[id.hash() % shard_count]; }
    static void expire(shard& s, wall_time now);

    entry_allowances_options options_;
    std::array<shard, shard_count> shards_;
};

} // namespace trefoil
