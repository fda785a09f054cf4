#pragma once

#include "base/request_id.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace trefoil {

/// Properties that an onward call inherits from the inbound call that caused it.
struct active_call {
    std::uint32_t depth = 0;
    mono_time deadline;
};

/// Inbound calls that this node's upstream is serving, by request id. Thread-safe: sharded by id,
/// with one lock per shard.
class active_calls {
public:
    /// Adds a call. Calls with the same id are counted; the max depth and the latest deadline
    /// apply.
    void add(const request_id& id, const active_call& c);
    /// Removes one call with this id; the entry remains until all of them are removed.
    void remove(const request_id& id);
    std::optional<active_call> find(const request_id& id) const;
    std::size_t size() const;

private:
    struct entry {
        active_call call;
        std::uint32_t count = 0;
    };

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<request_id, entry> calls;
    };

    static constexpr std::size_t shard_count = 16;

    std::array<shard, shard_count> shards_;
};

} // namespace trefoil
