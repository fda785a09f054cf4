#include "once/id_ledger.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <queue>
#include <unordered_map>
#include <utility>

namespace trefoil {

bool ledger_entry::may_run(send_attempt sent) const noexcept
{
    if (state == id_state::absent) {
        return true;
    }
    // A send without an attempt number may be older than the refused one, so it runs only if the
    // refused send was the first.
    return state == id_state::refused && sent.value_or(0) >= attempt;
}

struct id_ledger::totals {
    std::size_t max_answer_bytes;
    std::size_t max_total_bytes;
    std::atomic<std::size_t> answer_bytes = 0;

    /// Null if the answer is too large or there is no room.
    stored_answer store(std::string answer)
    {
        const std::size_t size = answer.size();
        if (size > max_answer_bytes) {
            return nullptr;
        }
        if (answer_bytes.fetch_add(size) + size > max_total_bytes) {
            answer_bytes -= size;
            return nullptr;
        }
        answer.shrink_to_fit();
        return std::make_shared<const std::string>(std::move(answer));
    }

    void discard(const stored_answer& answer)
    {
        if (answer) {
            answer_bytes -= answer->size();
        }
    }
};

struct id_ledger::shard {
    struct expiry {
        mono_time at;
        request_id id;

        friend bool operator>(const expiry& a, const expiry& b) { return a.at > b.at; }
    };

    mutable std::mutex mutex;
    std::size_t max_entries = 0;
    mono_time::duration margin{};
    /// Latest time for which expired entries were removed.
    mono_time purged;
    std::size_t refused = 0;
    std::unordered_map<request_id, ledger_entry> entries;
    std::priority_queue<expiry, std::vector<expiry>, std::greater<>> expiries;

    void purge(mono_time now, totals& all)
    {
        purged = std::max(purged, now);
        while (!expiries.empty() && expiries.top().at <= now) {
            const auto it = entries.find(expiries.top().id);
            if (it != entries.end()) {
                refused -= it->second.state == id_state::refused ? 1U : 0U;
                all.discard(it->second.answer);
                entries.erase(it);
            }
            expiries.pop();
        }
    }

    /// Returns the entry of the id, adding one if there is room; null if there is none. Also null
    /// for an expired id: a thread that was paused after it read the clock must not mistake a
    /// removed entry for an id that was never recorded.
    ledger_entry* find_or_add(const request_id& id, mono_time expires)
    {
        const auto it = entries.find(id);
        if (it != entries.end()) {
            return &it->second;
        }
        if (entries.size() >= max_entries || expires < purged) {
            return nullptr;
        }
        expiries.push({expires + margin, id});
        return &entries[id];
    }

    void set_state(ledger_entry& entry, id_state state)
    {
        refused -= entry.state == id_state::refused ? 1U : 0U;
        refused += state == id_state::refused ? 1U : 0U;
        entry.state = state;
    }
};

id_ledger::id_ledger(const once_options& options)
    : totals_(new totals{options.max_answer_bytes, options.ledger_answer_bytes})
{
    const std::size_t count = std::max<std::size_t>(options.ledger_shards, 1);
    for (std::size_t i = 0; i < count; ++i) {
        shards_.push_back(std::make_unique<shard>());
        shards_.back()->margin = 2 * options.clock_skew;
        shards_.back()->max_entries = std::max<std::size_t>(options.ledger_entries / count, 1);
    }
}

id_ledger::~id_ledger() = default;

id_ledger::shard& id_ledger::shard_of(const request_id& id) const
{
    // The hash map of the shard uses the low bits of the hash.
    return *shards_[(id.hash() >> 32U) % shards_.size()];
}

ledger_entry id_ledger::find(const request_id& id) const
{
    const auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    const auto it = s.entries.find(id);
    return it == s.entries.end() ? ledger_entry() : it->second;
}

id_ledger::begin_result id_ledger::begin(const request_id& id, send_attempt attempt,
                                         mono_time expires, mono_time now)
{
    auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    s.purge(now, *totals_);
    auto* entry = s.find_or_add(id, expires);
    if (entry == nullptr) {
        return {false, true, {}};
    }
    begin_result result{entry->may_run(attempt), false, *entry};
    if (result.recorded) {
        s.set_state(*entry, id_state::handed_off);
        entry->attempt = std::max(entry->attempt, attempt.value_or(0));
    }
    return result;
}

bool id_ledger::refuse(const request_id& id, std::uint32_t attempt, mono_time expires,
                       mono_time now)
{
    auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    s.purge(now, *totals_);
    const bool known = s.entries.contains(id);
    if (!known && s.refused >= s.max_entries / 2) {
        return false;
    }
    auto* entry = s.find_or_add(id, expires);
    if (entry == nullptr ||
        (entry->state != id_state::absent && entry->state != id_state::refused)) {
        return false;
    }
    s.set_state(*entry, id_state::refused);
    entry->attempt = std::max(entry->attempt, attempt);
    return true;
}

void id_ledger::finish(const request_id& id, std::string answer)
{
    auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    const auto it = s.entries.find(id);
    if (it == s.entries.end() ||
        (it->second.state != id_state::handed_off && it->second.state != id_state::unknown)) {
        return;
    }
    s.set_state(it->second, id_state::finished);
    it->second.answer = totals_->store(std::move(answer));
}

bool id_ledger::record_not_started(const request_id& id)
{
    auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    const auto it = s.entries.find(id);
    if (it == s.entries.end() || it->second.state != id_state::handed_off) {
        return false;
    }
    s.set_state(it->second, id_state::refused);
    return true;
}

void id_ledger::record_unknown_outcome(const request_id& id)
{
    auto& s = shard_of(id);
    const std::lock_guard lock(s.mutex);
    const auto it = s.entries.find(id);
    if (it != s.entries.end() && it->second.state == id_state::handed_off) {
        s.set_state(it->second, id_state::unknown);
    }
}

std::size_t id_ledger::size() const
{
    std::size_t total = 0;
    for (const auto& s : shards_) {
        const std::lock_guard lock(s->mutex);
        total += s->entries.size();
    }
    return total;
}

std::size_t id_ledger::answer_bytes() const noexcept
{
    return totals_->answer_bytes;
}

} // namespace trefoil
