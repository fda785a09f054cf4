#pragma once

#include "relay/published_changes.h"
#include "relay/published_item.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

/// Cache of the published items, received from the store or from other nodes. An item is never
/// replaced by an older revision.
class item_cache {
public:
    /// `max_removals` bounds the removed keys kept for nodes with an older state. A node whose
    /// state is older than the kept removals receives the full state.
    explicit item_cache(std::size_t max_removals = default_max_removals)
        : max_removals_(max_removals)
    {
    }

    /// Several times the number of targets that change while a node may have an old state.
    static constexpr std::size_t default_max_removals = 4096;

    /// Merges all changes after `base` up to `revision`. Returns the items that were newer than the
    /// cached ones; nullopt, without any change, if changes between the cached revision and `base`
    /// are missing.
    std::optional<std::vector<published_item>> merge(const std::vector<published_item>& items,
                                                     std::uint64_t base, std::uint64_t revision);

    /// Replaces the state by the full state at `revision`. Returns the changed items, with removals
    /// for cached items that are missing and not newer. Ignored if `revision` is older than the
    /// cached one.
    std::vector<published_item> replace(const std::vector<published_item>& items,
                                        std::uint64_t revision);

    /// Returns the changes for a node whose state is complete at `known`: the full state if the
    /// removals since then are no longer kept.
    published_changes changes_since(std::uint64_t known) const;

    /// Revision up to which the state is complete; 0 if nothing is cached.
    std::uint64_t revision() const noexcept { return revision_; }

private:
    void apply(const published_item& item, std::vector<published_item>& changed);
    void discard_old_removals();

    std::size_t max_removals_;
    std::map<std::string, published_item> items_;
    /// Keys of removed items, by revision.
    std::multimap<std::uint64_t, std::string> removals_;
    std::uint64_t revision_ = 0;
    /// Removals up to this revision may have been discarded.
    std::uint64_t discarded_revision_ = 0;
};

} // namespace trefoil
