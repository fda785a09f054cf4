#pragma once

#include "relay/published_item.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace trefoil {

/// Items that stay in force in place of older ones, after the store returned from an older copy,
/// and the last entries of targets that are gone, by which such older ones are known.
class retained_items {
public:
    /// `max_departed` bounds the targets that are remembered; the oldest are forgotten first.
    explicit retained_items(std::size_t max_departed = default_max_departed)
        : max_departed_(max_departed)
    {
    }

    /// Several times the number of targets that leave within the age of a copy.
    static constexpr std::size_t default_max_departed = 4096;

    /// Items that stay in force, by key.
    const std::map<std::string, published_item>& active() const noexcept { return active_; }

    /// Keeps an item in force. One that is removed is remembered as a departure, too.
    void activate(published_item item);
    void deactivate(const std::string& key) { active_.erase(key); }
    void clear_active() { active_.clear(); }

    /// Remembers the last value of a removed item; ignored if that is not known.
    void record_departure(published_item item);

    /// The target is in use again.
    void forget_departure(const std::string& key);

    /// The last known entry of a target that is gone; null if there is none.
    const published_item* find_departure(const std::string& key) const;

    std::vector<published_item> departed() const;

private:
    std::size_t max_departed_;
    std::map<std::string, published_item> active_;
    std::map<std::string, published_item> departed_;
    /// Keys of `departed_` in the order in which they were first recorded.
    std::deque<std::string> order_;
};

} // namespace trefoil
