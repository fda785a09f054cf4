#pragma once

#include "base/request_id.h"
#include "quarantine/content_fingerprint.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoil {

/// The requests in flight at the node's own upstream. An id can occur more than once, because a
/// caller may retry a request with the same id. Thread-safe.
class in_flight_table {
public:
    using entry = std::pair<request_id, content_fingerprint>;

    /// Adds one occurrence of a request.
    void add(const request_id& id, content_fingerprint fingerprint)
    {
        auto& s = shard_of(id);
        const std::lock_guard lock(s.mutex);
        s.entries.emplace(id, fingerprint);
    }

    /// Removes one occurrence of a request. No effect if there is none, as after a crash.
    void remove(const request_id& id, content_fingerprint fingerprint)
    {
        auto& s = shard_of(id);
        const std::lock_guard lock(s.mutex);
        const auto [first, last] = s.entries.equal_range(id);
        const auto it =
            std::find_if(first, last, [&](const auto& e) { return e.second == fingerprint; });
        if (it != last) {
            s.entries.erase(it);
        }
    }

    /// Removes and returns all requests.
    std::vector<entry> take_all()
    {
        std::vector<entry> taken;
        for (auto& s : shards_) {
            const std::lock_guard lock(s.mutex);
            taken.insert(taken.end(), s.entries.begin(), s.entries.end());
            s.entries.clear();
        }
        return taken;
    }

    /// Whether the fingerprint of any request satisfies the predicate, which is called with a shard
    /// locked.
    template<class Predicate>
    bool any(Predicate matches) const
    {
        return std::ranges::any_of(shards_, [&](const shard& s) {
            const std::lock_guard lock(s.mutex);
            return std::ranges::any_of(s.entries, [&](const auto& e) { return matches(e.second); });
        });
    }

    std::size_t size() const
    {
        std::size_t total = 0;
        for (const auto& s : shards_) {
            const std::lock_guard lock(s.mutex);
            total += s.entries.size();
        }
        return total;
    }

private:
    struct shard {
        mutable std::mutex mutex;
        std::unordered_multimap<request_id, content_fingerprint> entries;
    };

    shard& shard_of(const request_id& id) { return shards_[id.hash() % shards_.size()]; }

    std::array<shard, 16> shards_;
};

} // namespace trefoil
