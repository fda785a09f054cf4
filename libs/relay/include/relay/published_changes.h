#pragma once

#include "relay/published_item.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Changes of the published state, as exchanged between nodes.
struct published_changes {
    /// The items are all changes after this revision; 0 if they are the full state.
    std::uint64_t base = 0;
    /// Revision at which the state is complete once the items are merged into the state at `base`.
    std::uint64_t revision = 0;
    std::vector<published_item> items;
    /// Time for which the sender still keeps targets whose entries are missing, since the store was
    /// unavailable.
    std::chrono::milliseconds confirmation_time_left{0};
};

} // namespace trefoil
