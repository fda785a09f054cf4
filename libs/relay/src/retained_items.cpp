#include "relay/retained_items.h"

#include <utility>

namespace trefoil {

void retained_items::record_departure(departure d)
{
    if (d.item.value.empty()) {
        return;
    }
    auto key = d.item.key;
    if (departed_.insert_or_assign(key, std::move(d)).second) {
        order_.push_back(std::move(key));
    }
    while (order_.size() > max_departed_) {
        departed_.erase(order_.front());
        order_.pop_front();
    }
}

const retained_items::departure* retained_items::find_departure(const std::string& key) const
{
    const auto it = departed_.find(key);
    return it == departed_.end() ? nullptr : &it->second;
}

void retained_items::forget_departure(const std::string& key)
{
    if (departed_.erase(key) != 0) {
        std::erase(order_, key);
    }
}

std::vector<published_item> retained_items::departed() const
{
    std::vector<published_item> items;
    items.reserve(departed_.size());
    for (const auto& [key, departed] : departed_) {
        items.push_back(departed.item);
    }
    return items;
}

} // namespace trefoil
