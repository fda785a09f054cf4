#pragma once

#include "relay/item_reader.h"
#include "relay/published_item.h"
#include "spread/published_version.h"

#include <cstdint>
#include <vector>

namespace trefoil {

/// Decides what the answers of the store to one node mean: whether they continue what the node has,
/// are older than it, or come from a store that has returned from an older copy, which has to be
/// read in full once.
class feed_cursor {
public:
    enum class page_use : std::uint8_t {
        more,     ///< Another page is to be read.
        complete, ///< The read is complete: `items` at `version`.
        restart, ///< The store has returned from an older copy meanwhile; read from the first page.
        stale,   ///< The answer is of an earlier era than the node has.
    };

    enum class watch_use : std::uint8_t {
        changes, ///< All changes from `base` to `version`.
        new_era, ///< The revision watched is not one of the store any more.
        stale,   ///< The answer is of an earlier era than the node has.
    };

    bool needs_full_read() const noexcept { return needs_full_read_; }
    void require_full_read() noexcept { needs_full_read_ = true; }

    void begin_read();

    /// Takes the answer to a read. `known` is the version that the node has.
    page_use add_page(const read_result& page, const published_version& known);

    /// Items of a complete read.
    const std::vector<published_item>& items() const noexcept { return items_; }

    /// Version of the last complete read or watch.
    const published_version& version() const noexcept { return version_; }

    /// Begins a watch and returns the version from which to watch.
    const published_version& begin_watch(const published_version& known);

    /// Takes the answer to a watch.
    watch_use take_watch(const read_result& changes, const published_version& known);

    /// Version from which the last watch began.
    const published_version& base() const noexcept { return base_; }

    /// Takes an answer that says that the history after the watched revision is lost. False if it
    /// is stale.
    bool take_history_lost(const read_result& result, const published_version& known);

private:
    /// Whether peers have told this node of an era that the last watch did not know.
    bool has_later_era(const published_version& known) const { return known.era > base_.era; }

    std::vector<published_item> items_;
    published_version page_version_;
    published_version version_;
    published_version base_;
    bool is_first_page_ = true;
    bool needs_full_read_ = true;
};

} // namespace trefoil
