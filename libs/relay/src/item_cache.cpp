#include "relay/item_cache.h"

#include <algorithm>
#include <set>

namespace trefoil {

void item_cache::take(const published_item& item, std::vector<published_item>& changed)
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

void item_cache::forget_old_removals()
{
    while (removals_.size() > most_removals_) {
        const auto oldest = removals_.begin();
        forgotten_ = std::max(forgotten_, oldest->first);
        const auto it = items_.find(oldest->second);
        // The key may have been used again, or removed once more, since then.
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
        // An older item that is not known was removed meanwhile.
        if (item.revision > revision_ || items_.contains(item.key)) {
            take(item, changed);
        }
    }
    revision_ = std::max(revision_, revision);
    forget_old_removals();
    return changed;
}

std::vector<published_item> item_cache::replace(const std::vector<published_item>& items,
                                                std::uint64_t revision)
{
    std::vector<published_item> changed;
    if (revision < revision_) {
        return changed; // An old reading, for example of a store that is behind.
    }
    std::set<std::string> present;
    for (const auto& item : items) {
        present.insert(item.key);
        take(item, changed);
    }
    for (auto& [key, item] : items_) {
        if (!item.removed && !present.contains(key) && item.revision <= revision) {
            item = {key, {}, revision, true};
            removals_.emplace(revision, key);
            changed.push_back(item);
        }
    }
    revision_ = revision;
    forget_old_removals();
    return changed;
}

published_changes item_cache::changes_since(std::uint64_t known) const
{
    const bool is_whole = known < forgotten_ || known == 0;
    published_changes changes{is_whole ? 0 : known, revision_, {}, {}};
    for (const auto& [key, item] : items_) {
        if (item.revision > changes.base && !(is_whole && item.removed)) {
            changes.items.push_back(item);
        }
    }
    return changes;
}

} // namespace trefoil
