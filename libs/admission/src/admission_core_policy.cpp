#include "admission/admission_core.h"

#include <utility>

namespace trefoil {

namespace {

/// Position of an object of the old policy in the new one; none if it was removed.
template<class Index>
std::optional<Index> moved(const admission_policy& from, const admission_policy& to, Index i)
{
    return to.find(from.at(i).name);
}

} // namespace

void admission_core::replace_policy(admission_policy policy, std::uint32_t limit, mono_time now,
                                    admission_changes& changes)
{
    refuse_expired(now, changes);
    const auto waiting = queue_.drain();
    // Refused before the change, since the counts are kept by objects of the old policy.
    std::vector<queued_item> kept;
    for (const auto& item : waiting) {
        if (moved(policy_, policy, item.work.kind) && moved(policy_, policy, item.work.group)) {
            kept.push_back(item);
        }
        else {
            refuse(item, refusal_reason::unknown_object, changes);
        }
    }
    admission_core next(std::move(policy), random_state_, options_);
    next.adopt(*this);
    for (auto item : kept) {
        item.work.kind = *moved(policy_, next.policy_, item.work.kind);
        item.work.group = *moved(policy_, next.policy_, item.work.group);
        next.queue_.push(item);
    }
    *this = std::move(next);
    start_waiting(limit, now, changes);
    displace(now, changes);
    fractions_.advance(now, has_spare(limit, now));
}

void admission_core::adopt(const admission_core& old)
{
    last_ticket_ = old.last_ticket_;
    cold_since_ = old.cold_since_;
    costs_.adopt_overall(old.costs_);
    fractions_.adopt_interval(old.fractions_);
    for (std::uint32_t r = 0; r < old.policy_.ranks.size(); ++r) {
        if (const auto to = moved(old.policy_, policy_, rank_index{r})) {
            queue_.set_use(*to, old.queue_.use_of(rank_index{r}));
            started_by_rank_[to->value] = old.started_by_rank_[r];
        }
    }
    for (std::uint32_t k = 0; k < old.policy_.kinds.size(); ++k) {
        for (std::uint32_t g = 0; g < old.policy_.groups.size(); ++g) {
            const auto kind = moved(old.policy_, policy_, kind_index{k});
            const auto group = moved(old.policy_, policy_, group_index{g});
            if (kind && group) {
                costs_.adopt(*kind, *group, old.costs_, kind_index{k}, group_index{g});
                fractions_.set_fraction(*kind, *group,
                                        old.fractions_.fraction(kind_index{k}, group_index{g}));
            }
        }
    }
    for (const auto& [key, count] : old.refusals_) {
        const auto rank = moved(old.policy_, policy_, std::get<0>(key));
        const auto group = moved(old.policy_, policy_, std::get<1>(key));
        if (rank && group) {
            refusals_[{*rank, *group, std::get<2>(key)}] += count;
        }
    }
    for (const auto& [ticket, r] : old.running_) {
        running carried{std::nullopt, r.started};
        if (r.flow) {
            const auto kind = moved(old.policy_, policy_, r.flow->kind);
            const auto group = moved(old.policy_, policy_, r.flow->group);
            if (kind && group) {
                carried.flow = flow_id{*kind, *group};
                ++running_of(*carried.flow);
            }
        }
        running_.emplace(ticket, carried);
    }
}

} // namespace trefoil
