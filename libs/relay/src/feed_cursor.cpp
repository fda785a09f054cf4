#include "relay/feed_cursor.h"

#include <algorithm>

namespace trefoil {

void feed_cursor::begin_read()
{
    items_.clear();
    is_first_page_ = true;
}

feed_cursor::page_use feed_cursor::add_page(const read_result& page, const published_version& known)
{
    const auto newest = is_first_page_ ? known.era : page_version_.era;
    const auto order = compare_eras(page.era, newest);
    if (order == era_order::older) {
        return page_use::stale;
    }
    if (!is_first_page_ && order == era_order::newer) {
        return page_use::restart;
    }
    // The pages are not one snapshot. The watch starts at the lowest revision of all pages, so that
    // no change between them is missed.
    const auto revision =
        is_first_page_ ? page.revision : std::min(page_version_.revision, page.revision);
    page_version_ = {page.era.value_or(newest), revision};
    is_first_page_ = false;
    items_.insert(items_.end(), page.items.begin(), page.items.end());
    if (page.has_more && !page.items.empty()) {
        return page_use::more;
    }
    needs_full_read_ = false;
    version_ = page_version_;
    return page_use::complete;
}

const published_version& feed_cursor::begin_watch(const published_version& known)
{
    version_ = std::max(version_, known);
    base_ = version_;
    return base_;
}

feed_cursor::watch_use feed_cursor::take_watch(const read_result& changes,
                                               const published_version& known)
{
    switch (compare_eras(changes.era, base_.era)) {
    case era_order::older:
        return watch_use::stale;
    case era_order::newer:
        // Revisions are given out again, so that the changes are not those since `base`.
        needs_full_read_ = *changes.era > known.era;
        return watch_use::new_era;
    case era_order::same:
        break;
    }
    if (has_later_era(known)) {
        return watch_use::stale;
    }
    version_ = std::max(version_, {base_.era, changes.revision});
    return watch_use::changes;
}

bool feed_cursor::take_history_lost(const read_result& result, const published_version& known)
{
    if (compare_eras(result.era, known.era) == era_order::older) {
        return false;
    }
    // With the state of a later era from a peer, the watch goes on from there.
    needs_full_read_ = !has_later_era(known) || result.era.value_or(known.era) > known.era;
    return true;
}

} // namespace trefoil
