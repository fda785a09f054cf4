#pragma once

#include "admission/admission_policy.h"
#include "admission/decayed_use.h"
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

/// Waiting work of one target in the order of the design page, section 5.1: ranks with share 0
/// strictly last, other ranks by order while within their share, then weighted fair sharing between
/// groups, equal sharing between the kinds of a group, and deeper work first.
///
/// Shares are measured in slot time. Groups and kinds use start-time fair queueing, so that an idle
/// flow earns no credit and its unused share is lent. Ranks use a decaying sum of slot time.
class fair_queue {
public:
    /// `bound` is the number of items above which `pop_victim` must be called; the queue itself
    /// accepts any number. `share_window` is the time constant of the ranks' use.
    fair_queue(const admission_policy& policy, std::size_t bound,
               std::chrono::nanoseconds share_window);

    void push(const queued_item& item);

    /// Removes and returns the item to start next and charges the mean slot time of its flow to its
    /// rank, group and kind. None if empty.
    std::optional<queued_item> pop_next(mono_time now, const flow_costs& costs);

    /// Removes and returns the item to displace. Waiting work of ranks with share 0 goes first. Of
    /// the other ranks, one that holds more than its part of the bound gives way, preferably one
    /// whose use exceeds its share, and of these the least urgent. In it, the group and kind give
    /// way whose last item would start last.
    std::optional<queued_item> pop_victim(mono_time now, const flow_costs& costs);

    /// Removes an item whose latest start has passed; none if there is none.
    std::optional<queued_item> pop_expired(mono_time now);

    /// Removes the item; none if it is not queued.
    std::optional<queued_item> erase(admission_ticket ticket);

    /// Removes and returns all items, oldest first.
    std::vector<queued_item> drain();

    std::size_t size() const noexcept { return by_ticket_.size(); }
    std::size_t size(rank_index rank) const { return ranks_.at(rank.value).size; }
    std::size_t bound() const noexcept { return bound_; }

    /// Starts that happen before a new arrival of this flow would start. The smallest of the
    /// estimates from the ranks served before it and from the guaranteed parts of its rank, group
    /// and kind.
    double starts_before(kind_index kind, group_index group) const;

    /// Latest start of the most pressing item; none if empty.
    std::optional<mono_time> next_expiry() const;

    /// The ranks' use, to carry it into the queue of a new policy.
    const decayed_use& use_of(rank_index rank) const { return ranks_.at(rank.value).use; }
    void set_use(rank_index rank, const decayed_use& use) { ranks_.at(rank.value).use = use; }

private:
    /// Tags of start-time fair queueing, in slot time divided by share.
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
        decayed_use use;
        double virtual_time = 0.0;
        std::size_t size = 0;
        double total_group_share = 0.0;
        std::vector<group_state> groups;
    };
    struct place {
        std::uint32_t rank = 0;
        /// Position of the kind among the kinds of its rank.
        std::uint32_t kind = 0;
    };

    rank_state* next_rank(mono_time now);
    rank_state* victim_rank(mono_time now);
    double total_use(mono_time now) const;
    queued_item take(std::uint64_t ticket);

    std::size_t bound_;
    double total_share_ = 0.0;
    std::vector<rank_state> ranks_;
    /// By kind index.
    std::vector<place> places_;
    /// By the value of the ticket.
    std::map<std::uint64_t, queued_item> by_ticket_;
    /// Latest start and value of the ticket.
    std::set<std::pair<mono_time, std::uint64_t>> by_latest_start_;
};

} // namespace trefoil
