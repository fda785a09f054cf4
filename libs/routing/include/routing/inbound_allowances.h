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

/// The allowances of the requests that this node is serving, found by the id that the upstream's
/// onward calls name in `trefoil-parent`. Bounded by the requests in flight. Thread-safe.
class inbound_allowances {
public:
    /// Adds a request. If one with this id is already in flight, both share one allowance that
    /// holds the sum, because onward calls cannot be told apart.
    std::shared_ptr<retry_allowance> open(const request_id& id, std::uint32_t allowance);

    /// The allowance of a request in flight; null if there is none.
    std::shared_ptr<retry_allowance> find(const request_id& id) const;

    /// Ends a request and returns what is unused, for the answer's `trefoil-retries-left`. What
    /// onward calls hand back later is lost.
    std::uint32_t close(const request_id& id);

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
