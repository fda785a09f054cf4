#pragma once

#include "base/request_id.h"
#include "routing/retry_allowance.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace trefoil {

/// Retry allowances of the requests that this node is serving. Outbound calls of the upstream refer
/// to them by the request id in the header `trefoil-parent`. The number of entries is bounded by
/// the number of requests in flight. Thread-safe.
class inbound_allowances {
public:
    /// Adds a request. If a request with this id is already in flight, both share one allowance
    /// with the sum of the amounts, because their outbound calls cannot be distinguished.
    std::shared_ptr<retry_allowance> open(const request_id& id, std::uint32_t allowance);

    /// The allowance of a request in flight; null if no request with this id is in flight.
    std::shared_ptr<retry_allowance> find(const request_id& id) const;

    /// Ends a request and returns the unused retries for the response header
    /// `trefoil-retries-left`; 0 if the id is unknown. Retries that outbound calls return later are
    /// discarded.
    std::uint32_t close(const request_id& id);

    /// Number of distinct request ids in flight.
    std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct entry {
        std::shared_ptr<retry_allowance> allowance;
        std::uint32_t requests = 0;
    };
    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<request_id, entry> entries;
    };

    shard& shard_of(const request_id& id) { return shards_[id.hash() % shard_count]; }
    const shard& shard_of(const request_id& id) const { return shards_[id.hash() % shard_count]; }

    std::array<shard, shard_count> shards_;
};

} // namespace trefoil
