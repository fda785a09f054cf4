#include "active_calls.h"

#include <algorithm>

namespace trefoil {

void active_calls::add(const request_id& id, const active_call& c)
{
    auto& s = shards_[id.hash() % shard_count];
    const std::lock_guard lock(s.mutex);
    auto& e = s.calls[id];
    e.call.depth = std::max(e.call.depth, c.depth);
    e.call.deadline = std::max(e.call.deadline, c.deadline);
    ++e.count;
}

void active_calls::remove(const request_id& id)
{
    auto& s = shards_[id.hash() % shard_count];
    const std::lock_guard lock(s.mutex);
    const auto it = s.calls.find(id);
    if (it != s.calls.end() && --it->second.count == 0) {
        s.calls.erase(it);
    }
}

std::optional<active_call> active_calls::find(const request_id& id) const
{
    const auto& s = shards_[id.hash() % shard_count];
    const std::lock_guard lock(s.mutex);
    const auto it = s.calls.find(id);
    return it == s.calls.end() ? std::nullopt : std::optional(it->second.call);
}

std::size_t active_calls::size() const
{
    std::size_t total = 0;
    for (const auto& s : shards_) {
        const std::lock_guard lock(s.mutex);
        total += s.calls.size();
    }
    return total;
}

} // namespace trefoil
