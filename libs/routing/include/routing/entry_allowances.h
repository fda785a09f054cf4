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

/// Tuning parameters of entry_allowances.
struct entry_allowances_options {
    /// Time after the creation of an id in which its requests may use the remaining allowance.
    std::chrono::milliseconds id_lifetime = std::chrono::seconds(30);
    /// Maximum tolerated difference by which the creation time of an id may be in the future.
    std::chrono::milliseconds clock_skew = std::chrono::milliseconds(500);
    /// Maximum number of stored ids over all shards. An id that does not fit gets no retries, so
    /// that a missing record never grants additional retries.
    std::size_t capacity = 32768;
};

/// Attributes of one request as received from a caller outside the call graph.
struct entry_request {
    request_id id;
    /// Value of the header `trefoil-attempt`.
    std::uint32_t attempt = 0;
    /// Value of the header `trefoil-retries-left`; none if the caller did not send it.
    std::optional<std::uint32_t> retries_left;
    /// The configured `retries` of the request's kind.
    std::uint32_t kind_retries = 0;
};

/// Remaining retry allowance of each request id at its entry node. Ensures that a caller that sends
/// a request again does not get a new allowance for it. Thread-safe.
class entry_allowances {
public:
    explicit entry_allowances(entry_allowances_options options = {});

    /// Starts serving a request and returns its allowance: the minimum of `retries_left`,
    /// `kind_retries` - `attempt`, and the remaining allowance of the id. The returned amount is
    /// deducted until `finish` adds the unused part again. Sending the same id again costs one
    /// retry. Returns 0 if the id is expired or was created in the future.
    std::uint32_t begin(const entry_request& request, wall_time now);

    /// Ends a request and adds its unused retries to the remaining allowance. No effect if the id
    /// is not stored.
    void finish(const request_id& id, std::uint32_t unused);

    /// Removes expired ids. `begin` also does this for the shard it accesses.
    void expire(wall_time now);

    /// Number of stored ids.
    std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct shard {
        mutable std::mutex mutex;
        /// Remaining allowance. Negative if the id was sent again while its allowance was deducted.
        std::unordered_map<request_id, std::int64_t> remaining;
        /// Ids with their expiry time, in order of insertion.
        std::deque<std::pair<wall_time, request_id>> expiry;
    };

    shard& shard_of(const request_id& id) { return shards_[id.hash() % shard_count]; }
    static void expire(shard& s, wall_time now);

    entry_allowances_options options_;
    std::array<shard, shard_count> shards_;
};

} // namespace trefoil
