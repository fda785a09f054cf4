#include "relay/item_cache.h"

#include "base/hash.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace trefoil {

std::uint64_t item_cache::digest_of(const published_item& item)
{
    const bool is_present = !item.removed && item.revision != 0;
    return is_present ? hash64(item.key + '@' + std::to_string(item.revision)) : 0;
}

bool item_cache::is_news(const published_item& item) const
{
    const auto it = items_.find(item.key);
    const bool is_cached = it != items_.end();
    // An item that is not newer than the cached version and not cached has been removed.
    const bool may_be_present =
        item.revision > version_.revision || (is_cached && !it->second.removed);
    return may_be_present && (!is_cached || item.revision > it->second.revision);
}

bool item_cache::has_digest_with(const std::vector<published_item>& items,
                                 content_digest digest) const
{
    auto merged = digest_;
    for (const auto& item : items) {
        if (is_news(item)) {
            const auto it = items_.find(item.key);
            merged ^= digest_of(item) ^ (it == items_.end() ? 0 : digest_of(it->second));
        }
    }
    return (merged | 1U) == digest.value;
}

void item_cache::apply(const published_item& item, std::vector<published_item>& changed)
{
    auto& known = items_[item.key];
    if (item.revision <= known.revision) {
        return;
    }
    digest_ ^= digest_of(known) ^ digest_of(item);
    if (item.removed) {
        known.key = item.key;
        mark_removed(known, item.revision);
        removals_.emplace(item.revision, item.key);
    }
    else {
        known = item;
    }
    changed.push_back(known);
}

void item_cache::mark_removed(published_item& item, std::uint64_t revision)
{
    item.revision = revision;
    item.removed = true;
    if (item.value.size() > max_kept_value) {
        item.value = std::string();
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
                  const published_version& version)
{
    std::vector<published_item> changed;
    if (version.era < version_.era) {
        return changed;
    }
    if (version.era > version_.era || base > version_.revision) {
        return std::nullopt;
    }
    for (const auto& item : items) {
        if (is_news(item)) {
            apply(item, changed);
        }
    }
    version_ = std::max(version_, version);
    discard_old_removals();
    return changed;
}

std::vector<published_item> item_cache::replace(const std::vector<published_item>& items,
                                                const published_version& version)
{
    std::vector<published_item> changed;
    if (version < version_) {
        return changed; // An outdated read, for example an answer that was late.
    }
    if (version.era > version_.era) {
        version_ = version;
        return replace_era(items);
    }
    std::set<std::string> present;
    for (const auto& item : items) {
        present.insert(item.key);
        apply(item, changed);
    }
    for (auto& [key, item] : items_) {
        if (!item.removed && !present.contains(key) && item.revision <= version.revision) {
            digest_ ^= digest_of(item);
            mark_removed(item, version.revision);
            removals_.emplace(version.revision, key);
            changed.push_back(item);
        }
    }
    if (version > version_) {
        version_ = version;
        forget_removals();
    }
    discard_old_removals();
    return changed;
}

std::vector<published_item> item_cache::replace_era(const std::vector<published_item>& items)
{
    std::vector<published_item> changed;
    const auto before = std::exchange(items_, {});
    // Revisions of the era before say nothing about those of the new one.
    removals_.clear();
    discarded_revision_ = 0;
    forget_removals();
    digest_ = 0;
    for (const auto& item : items) {
        auto& current = items_[item.key];
        if (item.revision <= current.revision) {
            continue;
        }
        digest_ ^= digest_of(current) ^ digest_of(item);
        current = item;
        const auto old = before.find(item.key);
        const bool is_same =
            old != before.end() && !old->second.removed && old->second.value == item.value;
        if (!is_same) {
            changed.push_back(item);
        }
    }
    for (const auto& [key, item] : before) {
        if (!item.removed && !items_.contains(key)) {
            changed.push_back(item);
            mark_removed(changed.back(), version_.revision);
        }
    }
    return changed;
}

const published_item* item_cache::find(const std::string& key) const
{
    const auto it = items_.find(key);
    return it == items_.end() || it->second.removed ? nullptr : &it->second;
}

published_changes item_cache::changes_since(const published_version& known) const
{
    published_changes changes{known.revision, version_, {}};
    if (known.era > version_.era) {
        changes.base = version_.revision;
        return changes; // Nothing here is newer.
    }
    const bool is_full_state =
        known.era < version_.era || known.revision < discarded_revision_ || known.revision == 0;
    if (is_full_state) {
        changes.base = 0;
    }
    changes.digest = digest();
    changes.has_all_removals = is_full_state || known.revision >= read_revision_;
    for (const auto& [key, item] : items_) {
        if (item.revision > changes.base && !(is_full_state && item.removed)) {
            changes.items.push_back(item);
        }
    }
    return changes;
}

} // namespace trefoil
