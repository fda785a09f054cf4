#pragma once

#include "relay/published_item.h"

#include <cstddef>
#include <cstdint>
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

    /// The last entry of a target that is gone.
    struct departure {
        published_item item;
        /// Era in which the target left.
        std::uint64_t era = 0;
    };

    /// Keeps an item in force.
    void activate(const published_item& item) { active_.insert_or_assign(item.key, item); }
    void deactivate(const std::string& key) { active_.erase(key); }
    void clear_active() { active_.clear(); }

    /// Remembers the last value of a removed item; ignored if that is not known.
    void record_departure(departure d);

    /// The target is in use again.
    void forget_departure(const std::string& key);

    /// The last known entry of a target that is gone; null if there is none.
    const departure* find_departure(const std::string& key) const;

    std::vector<published_item> departed() const;

private:
    std::size_t max_departed_;
    std::map<std::string, published_item> active_;
    std::map<std::string, departure> departed_;
    /// Keys of `departed_` in the order in which they were first recorded.
    std::deque<std::string> order_;
};

} // namespace trefoil
