#include "admission/fair_queue.h"

#include <algorithm>

namespace trefoil {

namespace {

/// The state with the earliest start tag among those with waiting work; null if there is none.
template<class States, class Size>
auto* earliest_start(States& states, double virtual_time, Size size)
{
    typename States::value_type* best = nullptr;
    double best_start = 0.0;
    for (auto& s : states) {
        const double start = std::max(virtual_time, s.tag.finish);
        if (size(s) > 0 && (best == nullptr || start < best_start)) {
            best = &s;
            best_start = start;
        }
    }
    return best;
}

/// Charges `cost` to the state being served and advances the virtual time to its start tag.
template<class State>
void charge(State& state, double& virtual_time, double cost)
{
    virtual_time = std::max(virtual_time, state.tag.finish);
    state.tag.finish = virtual_time + cost;
}

} // namespace

fair_queue::fair_queue(const admission_policy& policy, std::size_t bound,
                       std::chrono::nanoseconds share_window)
    : bound_(bound)
{
    for (const auto& r : policy.ranks) {
        total_share_ += r.share;
        ranks_.push_back({r.share, decayed_usage(share_window), 0.0, 0, 0.0, {}});
        for (const auto& g : policy.groups) {
            ranks_.back().groups.push_back({g.share, {}, 0.0, 0, {}});
            ranks_.back().total_group_share += g.share;
        }
    }
    for (std::uint32_t k = 0; k < policy.kinds.size(); ++k) {
        const auto rank = policy.kinds[k].rank.value;
        auto& groups = ranks_.at(rank).groups;
        kind_positions_.push_back(
            {rank, groups.empty() ? 0 : static_cast<std::uint32_t>(groups[0].kinds.size())});
        for (auto& g : groups) {
            g.kinds.push_back({kind_index{k}, {}, {}});
        }
    }
}

void fair_queue::push(const queued_item& item)
{
    const auto& position = kind_positions_.at(item.work.kind.value);
    auto& rank = ranks_[position.rank];
    auto& group = rank.groups.at(item.work.group.value);
    group.kinds[position.kind].queue.push({item.work.depth, item.work.admit_point, item.ticket});
    ++group.size;
    ++rank.size;
    by_ticket_.emplace(item.ticket.value, item);
    by_latest_start_.emplace(item.latest_start, item.ticket.value);
}

queued_item fair_queue::remove(std::uint64_t ticket)
{
    const auto found = by_ticket_.find(ticket);
    const queued_item item = found->second;
    by_ticket_.erase(found);
    by_latest_start_.erase({item.latest_start, ticket});
    const auto& position = kind_positions_[item.work.kind.value];
    auto& rank = ranks_[position.rank];
    auto& group = rank.groups[item.work.group.value];
    group.kinds[position.kind].queue.erase({item.work.depth, item.work.admit_point, item.ticket});
    --group.size;
    --rank.size;
    return item;
}

double fair_queue::total_usage(mono_time now) const
{
    double total = 0.0;
    for (const auto& r : ranks_) {
        total += r.share > 0.0 ? r.usage.at(now) : 0.0;
    }
    return total;
}

fair_queue::rank_state* fair_queue::next_rank(mono_time now)
{
    const double total = total_usage(now);
    rank_state* lowest = nullptr;
    double lowest_ratio = 0.0;
    for (auto& r : ranks_) {
        if (r.size == 0 || r.share <= 0.0) {
            continue;
        }
        const double usage = r.usage.at(now);
        if (usage * total_share_ <= total * r.share) {
            return &r;
        }
        if (lowest == nullptr || usage / r.share < lowest_ratio) {
            lowest = &r;
            lowest_ratio = usage / r.share;
        }
    }
    if (lowest != nullptr) {
        return lowest;
    }
    const auto last = std::ranges::find_if(ranks_, [](const auto& r) { return r.size > 0; });
    return last == ranks_.end() ? nullptr : &*last;
}

std::optional<queued_item> fair_queue::pop_next(mono_time now, const flow_costs& costs)
{
    auto* rank = next_rank(now);
    if (rank == nullptr) {
        return std::nullopt;
    }
    auto* group =
        earliest_start(rank->groups, rank->virtual_time, [](const auto& g) { return g.size; });
    auto* kind = earliest_start(group->kinds, group->virtual_time,
                                [](const auto& k) { return k.queue.size(); });
    const auto item = remove(kind->queue.front().ticket.value);
    const auto cost = costs.mean(item.work.kind, item.work.group);
    const auto cost_ns = static_cast<double>(cost.count());
    rank->usage.add(cost, now);
    charge(*group, rank->virtual_time, cost_ns / group->share);
    charge(*kind, group->virtual_time, cost_ns);
    return item;
}

fair_queue::rank_state* fair_queue::victim_rank(mono_time now)
{
    // Each rank with a share has a quota of at least one item, because its fraction of a short
    // queue can be less than one item.
    const auto queue_quota = [this](const rank_state& r) {
        return std::max(1.0, static_cast<double>(bound_) * r.share / total_share_);
    };
    const double total = total_usage(now);
    rank_state* victim = nullptr;
    double victim_score = 0.0;
    for (auto it = ranks_.rbegin(); it != ranks_.rend(); ++it) {
        if (it->size > 0 && it->share <= 0.0) {
            return &*it;
        }
    }
    for (auto it = ranks_.rbegin(); it != ranks_.rend(); ++it) {
        if (it->size == 0) {
            continue;
        }
        // Score 3: above quota and above share. Score 2: above quota only. Otherwise the fill
        // ratio, which is at most 1.
        const double fill_ratio = static_cast<double>(it->size) / queue_quota(*it);
        const bool above_share = it->usage.at(now) * total_share_ > total * it->share;
        const double score = fill_ratio > 1.0 ? (above_share ? 3.0 : 2.0) : fill_ratio;
        if (victim == nullptr || score > victim_score) {
            victim = &*it;
            victim_score = score;
        }
    }
    return victim;
}

std::optional<queued_item> fair_queue::pop_victim(mono_time now, const flow_costs& costs)
{
    auto* rank = victim_rank(now);
    if (rank == nullptr) {
        return std::nullopt;
    }
    // Selecting by queue length alone would evict items of a flow that has not yet received its
    // share, and spare a flow that was just served. Adding the start tag distinguishes the two.
    const auto backlog = [&costs](const kind_state& k, std::size_t group) {
        const group_index g{static_cast<std::uint32_t>(group)};
        return static_cast<double>(k.queue.size()) *
               static_cast<double>(costs.mean(k.kind, g).count());
    };
    std::size_t victim_group = 0;
    double latest = -1.0;
    for (std::size_t g = 0; g < rank->groups.size(); ++g) {
        const auto& group = rank->groups[g];
        double waiting = 0.0;
        for (const auto& k : group.kinds) {
            waiting += backlog(k, g);
        }
        const double last = std::max(rank->virtual_time, group.tag.finish) + waiting / group.share;
        if (group.size > 0 && last > latest) {
            victim_group = g;
            latest = last;
        }
    }
    auto& group = rank->groups[victim_group];
    std::size_t victim_kind = 0;
    latest = -1.0;
    for (std::size_t k = 0; k < group.kinds.size(); ++k) {
        const auto& kind = group.kinds[k];
        const double last =
            std::max(group.virtual_time, kind.tag.finish) + backlog(kind, victim_group);
        if (!kind.queue.empty() && last > latest) {
            victim_kind = k;
            latest = last;
        }
    }
    return remove(group.kinds[victim_kind].queue.victim().ticket.value);
}

std::optional<queued_item> fair_queue::pop_expired(mono_time now)
{
    if (by_latest_start_.empty() || by_latest_start_.begin()->first > now) {
        return std::nullopt;
    }
    return remove(by_latest_start_.begin()->second);
}

std::optional<queued_item> fair_queue::erase(admission_ticket ticket)
{
    if (!by_ticket_.contains(ticket.value)) {
        return std::nullopt;
    }
    return remove(ticket.value);
}

std::vector<queued_item> fair_queue::drain()
{
    std::vector<queued_item> items;
    while (!by_ticket_.empty()) {
        items.push_back(remove(by_ticket_.begin()->first));
    }
    return items;
}

double fair_queue::starts_ahead_of(kind_index kind, group_index group) const
{
    const auto& position = kind_positions_.at(kind.value);
    const auto& own = ranks_[position.rank];
    const auto& own_group = own.groups.at(group.value);
    const auto in_kind = static_cast<double>(own_group.kinds[position.kind].queue.size());
    // Within its rank, the flow waits at most for all items of the rank, or for its own items at
    // the rate of its guaranteed share.
    const double group_fraction = own_group.share / own.total_group_share;
    const double kind_fraction = group_fraction / static_cast<double>(own_group.kinds.size());
    const double ahead_in_rank =
        std::min({static_cast<double>(own.size),
                  static_cast<double>(own_group.size) / group_fraction, in_kind / kind_fraction});
    double before = 0.0;
    for (std::size_t r = 0; r < ranks_.size(); ++r) {
        const bool earlier = ranks_[r].share > 0.0 ? own.share <= 0.0 || r < position.rank
                                                   : own.share <= 0.0 && r < position.rank;
        before += earlier ? static_cast<double>(ranks_[r].size) : 0.0;
    }
    return own.share > 0.0
               ? std::min(before + ahead_in_rank, ahead_in_rank * total_share_ / own.share)
               : before + ahead_in_rank;
}

std::optional<mono_time> fair_queue::next_expiry() const
{
    if (by_latest_start_.empty()) {
        return std::nullopt;
    }
    return by_latest_start_.begin()->first;
}

} // namespace trefoil
