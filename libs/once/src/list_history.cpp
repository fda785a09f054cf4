#include "once/list_history.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace trefoil {

bool list_history::adopt(member_list list, mono_time now)
{
    if (current_ && list.revision() <= current_->revision()) {
        return false;
    }
    if (current_ && list.digest() == current_->digest()) {
        current_ = std::move(list);
        return false;
    }
    first_revision_ = list.revision();
    std::erase_if(older_, [&](const older_list& o) { return o.members.digest() == list.digest(); });
    const auto previous = std::exchange(current_, std::move(list));
    if (previous) {
        add_older(*previous, now, true);
    }
    return true;
}

void list_history::merge(const reported_list& report, mono_time now)
{
    // The bounds keep an invalid age in a message from overflowing the clock.
    const auto age = std::clamp<std::chrono::milliseconds>(report.age, std::chrono::milliseconds(0),
                                                           std::chrono::hours(1));
    add_older(member_list(report.revision, report.members), now - age, age == age.zero());
}

void list_history::add_older(member_list list, mono_time last_in_force, bool from_holder)
{
    // No node owns an id under an empty list, so no work can have run under it.
    if (list.empty() || (current_ && list.digest() == current_->digest())) {
        return;
    }
    const auto same = std::ranges::find(older_, list.digest(),
                                        [](const older_list& o) { return o.members.digest(); });
    if (same != older_.end()) {
        const bool reopened = list.revision() > same->members.revision();
        if (reopened) {
            same->members = std::move(list);
            same->superseded = false;
        }
        // The age in a relayed report does not include the transmission time. Nodes that relay each
        // other's reports would keep a list from ageing, so only a report from a node whose current
        // list it is may reduce the age.
        if (from_holder || reopened) {
            same->last_in_force = std::max(same->last_in_force, last_in_force);
        }
        return;
    }
    older_.push_back({std::move(list), last_in_force, false});
    std::ranges::sort(older_, {}, [](const older_list& o) { return o.members.revision(); });
    if (older_.size() <= options_->max_lists) {
        return;
    }
    // Superseded lists are kept only so that a late report does not make them active again. If none
    // is superseded, the lowest revision is kept: any list that came into force after it needed a
    // majority of its members, and those report the lists that are dropped here.
    const auto closed = std::ranges::find_if(older_, &older_list::superseded);
    older_.erase(closed != older_.end() ? closed : older_.begin() + 1);
}

void list_history::supersede_older()
{
    for (auto& o : older_) {
        if (current_ && o.members.revision() < current_->revision()) {
            o.superseded = true;
        }
    }
}

std::vector<reported_list> list_history::report(std::uint64_t known_digest, mono_time now) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    std::vector<reported_list> reports;
    for (const auto& o : older_) {
        if (!o.superseded && o.members.digest() != known_digest) {
            reports.push_back({o.members.revision(), o.members.names(),
                               duration_cast<milliseconds>(now - o.last_in_force)});
        }
    }
    if (current_ && current_->digest() != known_digest) {
        reports.push_back({current_->revision(), current_->names(), milliseconds(0)});
    }
    return reports;
}

} // namespace trefoil
