#include "admission/admission_core.h"

#include <utility>

namespace trefoil {

namespace {

/// Index in `to` of the object with index `i` in `from`; none if `to` has no object of that name.
template<class Index>
std::optional<Index> map_index(const admission_policy& from, const admission_policy& to, Index i)
{
    return to.find(from.at(i).name);
}

} // namespace

void admission_core::replace_policy(admission_policy policy, std::uint32_t limit, mono_time now,
                                    admission_changes& changes)
{
    refuse_expired(now, changes);
    const auto waiting = queue_.drain();
    // Refuses before the policy changes, because the refusal counters use indices of the old
    // policy.
    std::vector<queued_item> kept;
    for (const auto& item : waiting) {
        if (map_index(policy_, policy, item.work.kind) &&
            map_index(policy_, policy, item.work.group)) {
            kept.push_back(item);
        }
        else {
            refuse(item, refusal_reason::unknown_object, changes);
        }
    }
    admission_core next(std::move(policy), random_state_, options_);
    next.copy_state_from(*this);
    for (auto item : kept) {
        item.work.kind = *map_index(policy_, next.policy_, item.work.kind);
        item.work.group = *map_index(policy_, next.policy_, item.work.group);
        next.queue_.push(item);
    }
    *this = std::move(next);
    start_waiting(limit, now, changes);
    evict_over_bound(now, changes);
    fractions_.advance(now, has_spare_capacity(limit, now));
}

void admission_core::copy_state_from(const admission_core& old)
{
    last_ticket_ = old.last_ticket_;
    cold_since_ = old.cold_since_;
    costs_.copy_overall_mean(old.costs_);
    fractions_.copy_interval(old.fractions_);
    for (std::uint32_t r = 0; r < old.policy_.ranks.size(); ++r) {
        if (const auto to = map_index(old.policy_, policy_, rank_index{r})) {
            queue_.set_usage(*to, old.queue_.usage(rank_index{r}));
            started_by_rank_[to->value] = old.started_by_rank_[r];
        }
    }
    for (std::uint32_t k = 0; k < old.policy_.kinds.size(); ++k) {
        for (std::uint32_t g = 0; g < old.policy_.groups.size(); ++g) {
            const auto kind = map_index(old.policy_, policy_, kind_index{k});
            const auto group = map_index(old.policy_, policy_, group_index{g});
            if (kind && group) {
                costs_.copy_flow(*kind, *group, old.costs_, kind_index{k}, group_index{g});
                fractions_.set_fraction(*kind, *group,
                                        old.fractions_.fraction(kind_index{k}, group_index{g}));
            }
        }
    }
    for (const auto& [key, count] : old.refusals_) {
        const auto rank = map_index(old.policy_, policy_, std::get<0>(key));
        const auto group = map_index(old.policy_, policy_, std::get<1>(key));
        if (rank && group) {
            refusals_[{*rank, *group, std::get<2>(key)}] += count;
        }
    }
    for (const auto& [ticket, r] : old.running_) {
        running_work carried{std::nullopt, r.started};
        if (r.flow) {
            const auto kind = map_index(old.policy_, policy_, r.flow->kind);
            const auto group = map_index(old.policy_, policy_, r.flow->group);
            if (kind && group) {
                carried.flow = flow_id{*kind, *group};
                ++running_count(*carried.flow);
            }
        }
        running_.emplace(ticket, carried);
    }
}

} // namespace trefoil
