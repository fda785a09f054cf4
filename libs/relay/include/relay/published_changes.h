#pragma once

#include "base/versions.h"
#include "relay/published_item.h"
#include "spread/content_digest.h"
#include "spread/published_version.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace trefoil {

/// What a node requests from a peer because of a message that it received.
enum class state_need : std::uint8_t { nothing, changes, full_state };

/// Changes of the published state, as exchanged between nodes.
struct published_changes {
    /// The items are all changes after this revision, in the era of `version`; 0 if they are the
    /// full state.
    std::uint64_t base = 0;
    /// Version at which the state is complete once the items are merged into the state at `base`.
    published_version version;
    std::vector<published_item> items;
    /// Time for which the sender still keeps targets whose entries are missing, since the store was
    /// unavailable or returned from an older copy.
    std::chrono::milliseconds confirmation_time_left{0};
    /// Items that stay in force at the sender in place of older ones of the store. That of a target
    /// that is gone is marked as removed and has the last value of the target's entry.
    std::vector<published_item> retained{};
    /// Version of the configuration in force at the sender, if it is retained; 0 otherwise.
    config_version retained_config{};
    /// Digest of the sender's state at `version`; 0 if it sends none.
    content_digest digest{};
    /// False if the sender may not know of all removals since `base`: it has read everything since,
    /// and items may have been written and removed in between.
    bool has_all_removals = true;
};

} // namespace trefoil
