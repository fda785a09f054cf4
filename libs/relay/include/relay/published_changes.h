#pragma once

#include "relay/published_item.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Changes of the published state, for another node.
struct published_changes {
    /// The items are all changes after this revision; 0 if they are the whole state.
    std::uint64_t base = 0;
    /// Together with the state at `base`, the state is complete at this revision.
    std::uint64_t revision = 0;
    std::vector<published_item> items;
    /// The sender keeps targets whose entries are missing for this long, since the store was away.
    std::chrono::milliseconds confirm_left{0};
};

} // namespace trefoil
