#include "relay/item_cache.h"

#include <algorithm>
#include <set>

namespace trefoil {

std::vector<published_item> item_cache::merge(const std::vector<published_item>& items)
{
    std::vector<published_item> changed;
    for (const auto& item : items) {
        newest_ = std::max(newest_, item.revision);
        auto& known = items_[item.key];
        if (item.revision > known.revision) {
            known = item;
            changed.push_back(item);
        }
    }
    return changed;
}

std::vector<published_item> item_cache::replace(const std::string& prefix,
                                                const std::vector<published_item>& items,
                                                std::uint64_t revision)
{
    auto changed = merge(items);
    std::set<std::string> present;
    for (const auto& item : items) {
        present.insert(item.key);
    }
    for (auto& [key, item] : items_) {
        if (key.starts_with(prefix) && !item.removed && !present.contains(key) &&
            item.revision <= revision) {
            item = {key, {}, revision, true};
            newest_ = std::max(newest_, revision);
            changed.push_back(item);
        }
    }
    return changed;
}

std::vector<published_item> item_cache::items() const
{
    std::vector<published_item> present;
    for (const auto& [key, item] : items_) {
        if (!item.removed) {
            present.push_back(item);
        }
    }
    return present;
}

} // namespace trefoil
