#pragma once

#include "admission/admission_policy.h"
#include "admission/decayed_usage.h"
#include "admission/flow_costs.h"
#include "admission/flow_queue.h"
#include "admission/queued_item.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace trefoil {

/// Queue of the waiting work of one target, ordered as specified in docs/design.md, section 5.1.
/// Ranks with share 0 are served last. Other ranks are served by urgency while their usage is
/// within their share. Within a rank, groups share by weight, the kinds of a group share equally,
/// and work of greater call depth is served first.
///
/// Shares are measured in slot time. Groups and kinds use start-time fair queueing, so that an idle
/// flow accumulates no credit and its unused share is available to others. The usage of ranks is an
/// exponentially decaying sum of slot time.
class fair_queue {
public:
    /// `bound` is the number of items above which the caller must call `pop_victim`; the queue does
    /// not enforce it. `share_window` is the time constant of the usage of the ranks.
    fair_queue(const admission_policy& policy, std::size_t bound,
               std::chrono::nanoseconds share_window);

    /// Adds an item. Throws std::out_of_range if its kind or group is not in the policy.
    void push(const queued_item& item);

    /// Removes and returns the item to start next, and charges the mean slot time of its flow to
    /// its rank, group and kind. None if the queue is empty.
    std::optional<queued_item> pop_next(mono_time now, const flow_costs& costs);

    /// Removes and returns the item to evict; none if the queue is empty. Items of ranks with share
    /// 0 are evicted first. Among the other ranks, those that hold more than their fraction of the
    /// bound are preferred, then those whose usage also exceeds their share, then the least urgent.
    /// Within the rank, the group and kind whose last item would start last are selected.
    std::optional<queued_item> pop_victim(mono_time now, const flow_costs& costs);

    /// Removes and returns an item whose latest start has passed; none if there is no such item.
    std::optional<queued_item> pop_expired(mono_time now);

    /// Removes and returns the item with this ticket; none if it is not queued.
    std::optional<queued_item> erase(admission_ticket ticket);

    /// Removes and returns all items in the order of their tickets.
    std::vector<queued_item> drain();

    /// Number of waiting items, in total or of one rank.
    std::size_t size() const noexcept { return by_ticket_.size(); }
    std::size_t size(rank_index rank) const { return ranks_.at(rank.value).size; }
    /// The bound passed to the constructor.
    std::size_t bound() const noexcept { return bound_; }

    /// Estimated number of items that start before a new item of this flow. The minimum of the
    /// estimates based on the ranks that are served first and on the guaranteed shares of its rank,
    /// group and kind.
    double starts_ahead_of(kind_index kind, group_index group) const;

    /// Earliest of the latest start times of all items; none if the queue is empty.
    std::optional<mono_time> next_expiry() const;

    /// Access to the usage of a rank, to keep it across a policy change.
    const decayed_usage& usage(rank_index rank) const { return ranks_.at(rank.value).usage; }
    void set_usage(rank_index rank, const decayed_usage& usage)
    {
        ranks_.at(rank.value).usage = usage;
    }

private:
    /// Finish tag of start-time fair queueing, in nanoseconds of slot time divided by the share.
    struct fair_tag {
        double finish = 0.0;
    };
    struct kind_state {
        kind_index kind;
        fair_tag tag;
        flow_queue queue;
    };
    struct group_state {
        double share = 1.0;
        fair_tag tag;
        double virtual_time = 0.0;
        std::size_t size = 0;
        std::vector<kind_state> kinds;
    };
    struct rank_state {
        double share = 0.0;
        decayed_usage usage;
        double virtual_time = 0.0;
        std::size_t size = 0;
        double total_group_share = 0.0;
        std::vector<group_state> groups;
    };
    /// Location of a kind in `ranks_`.
    struct kind_position {
        std::uint32_t rank = 0;
        /// Index of the kind among the kinds of its rank.
        std::uint32_t kind = 0;
    };

    rank_state* next_rank(mono_time now);
    rank_state* victim_rank(mono_time now);
    double total_usage(mono_time now) const;
    queued_item remove(std::uint64_t ticket);

    std::size_t bound_;
    double total_share_ = 0.0;
    std::vector<rank_state> ranks_;
    /// Indexed by kind.
    std::vector<kind_position> kind_positions_;
    /// Items by ticket value.
    std::map<std::uint64_t, queued_item> by_ticket_;
    /// Latest start and ticket value of each item.
    std::set<std::pair<mono_time, std::uint64_t>> by_latest_start_;
};

} // namespace trefoil
