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

/// What an onward call inherits from the inbound call that it serves.
struct active_call {
    std::uint32_t depth = 0;
    mono_time deadline;
};

/// Inbound calls that the own upstream is serving, by request id. Thread-safe: sharded by id, with
/// one lock for each shard.
class active_calls {
public:
    void add(const request_id& id, const active_call& c);
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
