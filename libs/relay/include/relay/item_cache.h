#pragma once

#include "relay/published_item.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace trefoil {

/// The newest known items of the store, from the store itself or from other nodes. An item is never
/// replaced by an older one.
class item_cache {
public:
    /// Takes over changes. Returns those that are newer than what was known.
    std::vector<published_item> merge(const std::vector<published_item>& items);

    /// Takes over a complete reading of a prefix at `revision`. Returns what changed, with removals
    /// for items that are missing and not newer.
    std::vector<published_item> replace(const std::string& prefix,
                                        const std::vector<published_item>& items,
                                        std::uint64_t revision);

    /// All items, without removed ones.
    std::vector<published_item> items() const;

    /// Revision of the newest change that is known.
    std::uint64_t newest() const noexcept { return newest_; }

private:
    std::map<std::string, published_item> items_;
    std::uint64_t newest_ = 0;
};

} // namespace trefoil
