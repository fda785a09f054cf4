#include "routing/inbound_allowances.h"

namespace trefoil {

std::shared_ptr<retry_allowance> inbound_allowances::open(const request_id& id,
                                                          std::uint32_t allowance)
{
    auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    auto& e = s.entries[id];
    if (e.allowance) {
        e.allowance->return_unused(allowance);
    }
    else {
        e.allowance = std::make_shared<retry_allowance>(allowance);
    }
    ++e.requests;
    return e.allowance;
}

std::shared_ptr<retry_allowance> inbound_allowances::find(const request_id& id) const
{
    const auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    const auto it = s.entries.find(id);
    return it == s.entries.end() ? nullptr : it->second.allowance;
}

std::uint32_t inbound_allowances::close(const request_id& id)
{
    auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    const auto it = s.entries.find(id);
    if (it == s.entries.end()) {
        return 0;
    }
    const auto unused = it->second.allowance->take_all();
    if (--it->second.requests == 0) {
        s.entries.erase(it);
    }
    return unused;
}

std::size_t inbound_allowances::size() const
{
    std::size_t total = 0;
    for (const auto& s : shards_) {
        const std::lock_guard lock(s.mutex);
        total += s.entries.size();
    }
    return total;
}

} // namespace trefoil
