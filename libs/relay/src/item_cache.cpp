#include "relay/item_cache.h"

#include <algorithm>
#include <set>

namespace trefoil {

void item_cache::apply(const published_item& item, std::vector<published_item>& changed)
{
    auto& known = items_[item.key];
    if (item.revision <= known.revision) {
        return;
    }
    known = item;
    changed.push_back(item);
    if (item.removed) {
        removals_.emplace(item.revision, item.key);
    }
}

void item_cache::discard_old_removals()
{
    while (removals_.size() > max_removals_) {
        const auto oldest = removals_.begin();
        discarded_revision_ = std::max(discarded_revision_, oldest->first);
        const auto it = items_.find(oldest->second);
        // The key may have been reused, or removed again, since then.
        if (it != items_.end() && it->second.removed && it->second.revision == oldest->first) {
            items_.erase(it);
        }
        removals_.erase(oldest);
    }
}

std::optional<std::vector<published_item>>
item_cache::merge(const std::vector<published_item>& items, std::uint64_t base,
                  std::uint64_t revision)
{
    if (base > revision_) {
        return std::nullopt;
    }
    std::vector<published_item> changed;
    for (const auto& item : items) {
        // An item that is not newer than the cached revision and not cached has been removed.
        if (item.revision > revision_ || items_.contains(item.key)) {
            apply(item, changed);
        }
    }
    revision_ = std::max(revision_, revision);
    discard_old_removals();
    return changed;
}

std::vector<published_item> item_cache::replace(const std::vector<published_item>& items,
                                                std::uint64_t revision)
{
    std::vector<published_item> changed;
    if (revision < revision_) {
        return changed; // An outdated read, for example from a lagging store replica.
    }
    std::set<std::string> present;
    for (const auto& item : items) {
        present.insert(item.key);
        apply(item, changed);
    }
    for (auto& [key, item] : items_) {
        if (!item.removed && !present.contains(key) && item.revision <= revision) {
            item = {key, {}, revision, true};
            removals_.emplace(revision, key);
            changed.push_back(item);
        }
    }
    revision_ = revision;
    discard_old_removals();
    return changed;
}

published_changes item_cache::changes_since(std::uint64_t known) const
{
    const bool is_full_state = known < discarded_revision_ || known == 0;
    published_changes changes{is_full_state ? 0 : known, revision_, {}, {}};
    for (const auto& [key, item] : items_) {
        if (item.revision > changes.base && !(is_full_state && item.removed)) {
            changes.items.push_back(item);
        }
    }
    return changes;
}

} // namespace trefoil
