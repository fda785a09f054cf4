#include "routing/entry_allowances.h"

#include <algorithm>

namespace trefoil {

entry_allowances::entry_allowances(entry_allowances_options options) : options_(options) {}

std::uint32_t entry_allowances::begin(const entry_request& request, wall_time now)
{
    const auto created = request.id.created_at();
    // This check and the expiry of records use the same clock and the creation time in the id.
    // Therefore an id whose record has expired gets no further retries.
    if (created + options_.id_lifetime <= now || created > now + options_.clock_skew) {
        return 0;
    }
    std::uint32_t stated =
        request.kind_retries > request.attempt ? request.kind_retries - request.attempt : 0;
    stated = std::min(stated, request.retries_left.value_or(stated));

    auto& s = shard_of(request.id);
    const std::lock_guard lock(s.mutex);
    expire(s, now);
    auto it = s.remaining.find(request.id);
    if (it == s.remaining.end()) {
        if (s.remaining.size() >= options_.capacity / shard_count) {
            return 0;
        }
        it = s.remaining.emplace(request.id, stated).first;
        s.expiry.emplace_back(created + options_.id_lifetime, request.id);
    }
    else {
        it->second = std::min(it->second - 1, std::int64_t{stated});
    }
    const auto granted = std::max(it->second, std::int64_t{0});
    it->second -= granted;
    return static_cast<std::uint32_t>(granted);
}

void entry_allowances::finish(const request_id& id, std::uint32_t unused)
{
    auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    const auto it = s.remaining.find(id);
    if (it != s.remaining.end()) {
        it->second += unused;
    }
}

void entry_allowances::expire(wall_time now)
{
    for (auto& s : shards_) {
        const std::lock_guard lock(s.mutex);
        expire(s, now);
    }
}

void entry_allowances::expire(shard& s, wall_time now)
{
    // Ids arrive approximately in order of creation. The record of an id that arrives out of order
    // may be removed late, which is harmless.
    while (!s.expiry.empty() && s.expiry.front().first <= now) {
        s.remaining.erase(s.expiry.front().second);
        s.expiry.pop_front();
    }
}

std::size_t entry_allowances::size() const
{
    std::size_t total = 0;
    for (const auto& s : shards_) {
        const std::lock_guard lock(s.mutex);
        total += s.remaining.size();
    }
    return total;
}

} // namespace trefoil
