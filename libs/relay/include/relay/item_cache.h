#pragma once

#include "relay/published_changes.h"
#include "relay/published_item.h"
#include "spread/content_digest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

/// Cache of the published items, received from the store or from other nodes. An item is never
/// replaced by an older version.
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

    /// Merges all changes after the revision `base` up to `version`. Returns the items that were
    /// newer than the cached ones; nullopt, without any change, if changes between the cached
    /// version and `base` are missing, or if `version` is of a later era.
    std::optional<std::vector<published_item>> merge(const std::vector<published_item>& items,
                                                     std::uint64_t base,
                                                     const published_version& version);

    /// Replaces the state by the full state at `version`. Returns the changed items, with removals
    /// for cached items that are missing and not newer. In a later era an item is changed if its
    /// value differs, whatever its revision. Ignored if `version` is older than the cached one.
    std::vector<published_item> replace(const std::vector<published_item>& items,
                                        const published_version& version);

    /// Returns the changes for a node whose state is complete at `known`: the full state if it is
    /// of an earlier era, or if the removals since then are no longer kept.
    published_changes changes_since(const published_version& known) const;

    /// Version up to which the state is complete; its revision is 0 if nothing is cached.
    const published_version& version() const noexcept { return version_; }

    /// Whether the state would have this digest with the items merged.
    bool has_digest_with(const std::vector<published_item>& items, content_digest digest) const;

    /// The removals up to the cached version may not all be known, as after a full read.
    void forget_removals() { read_revision_ = version_.revision; }

    /// Digest of the keys and revisions of all items, by which two nodes at the same version
    /// compare their states. Never 0.
    content_digest digest() const noexcept { return {digest_ | 1U}; }

    /// The cached item; null if there is none or it was removed.
    const published_item* find(const std::string& key) const;

    /// Passes each item that is not removed to the function.
    template<class Function>
    void for_each(Function function) const
    {
        for (const auto& [key, item] : items_) {
            if (!item.removed) {
                function(item);
            }
        }
    }

private:
    /// Longer last values of removed items are not kept; entries of targets have a few hundred
    /// bytes.
    static constexpr std::size_t max_kept_value = 1024;

    void apply(const published_item& item, std::vector<published_item>& changed);
    /// Marks an item as removed at a revision.
    static void mark_removed(published_item& item, std::uint64_t revision);
    /// Whether a merge would take the item over.
    bool is_news(const published_item& item) const;
    /// Digest of a single item; 0 if it is removed. That of the state is the XOR of all.
    static std::uint64_t digest_of(const published_item& item);
    std::vector<published_item> replace_era(const std::vector<published_item>& items);
    void discard_old_removals();

    std::size_t max_removals_;
    std::map<std::string, published_item> items_;
    /// Keys of removed items, by revision.
    std::multimap<std::uint64_t, std::string> removals_;
    published_version version_;
    std::uint64_t digest_ = 0;
    /// Removals up to this revision may have been discarded.
    std::uint64_t discarded_revision_ = 0;
    /// Removals up to this revision may not be known, since all items were read.
    std::uint64_t read_revision_ = 0;
};

} // namespace trefoil
