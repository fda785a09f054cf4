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

/// The published items, from the store itself or from other nodes. An item is never replaced by an
/// older one.
class item_cache {
public:
    /// `most_removals` bounds the removed keys that are remembered for nodes that are behind; a
    /// node that is further behind gets the whole state.
    explicit item_cache(std::size_t most_removals = default_most_removals)
        : most_removals_(most_removals)
    {
    }

    /// Several times the targets that change in the time for which a node may be behind.
    static constexpr std::size_t default_most_removals = 4096;

    /// Takes over changes after `base` that make the state complete at `revision`. Returns those
    /// that are newer than what was known; none if changes between the known revision and `base`
    /// are missing.
    std::optional<std::vector<published_item>> merge(const std::vector<published_item>& items,
                                                     std::uint64_t base, std::uint64_t revision);

    /// Takes over the whole state at `revision`. Returns what changed, with removals for items that
    /// are missing and not newer.
    std::vector<published_item> replace(const std::vector<published_item>& items,
                                        std::uint64_t revision);

    /// What a node that is complete at `known` lacks: the whole state if the removals since then
    /// are no longer known.
    published_changes changes_since(std::uint64_t known) const;

    /// The state is complete at this revision; 0 if nothing is known.
    std::uint64_t revision() const noexcept { return revision_; }

private:
    void take(const published_item& item, std::vector<published_item>& changed);
    void forget_old_removals();

    std::size_t most_removals_;
    std::map<std::string, published_item> items_;
    /// Keys of removed items, by revision.
    std::multimap<std::uint64_t, std::string> removals_;
    std::uint64_t revision_ = 0;
    /// Removals up to this revision may be forgotten.
    std::uint64_t forgotten_ = 0;
};

} // namespace trefoil
