#include "admission/admission_core.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

constexpr std::uint64_t splitmix64_increment = 0x9e3779b97f4a7c15U;

std::size_t queue_bound(const admission_policy& policy, const admission_options& options)
{
    const double wanted = std::ceil(static_cast<double>(policy.slots) * options.queue_per_slot);
    return std::max(options.min_queue, static_cast<std::size_t>(wanted));
}

bool is_overload(refusal_reason reason)
{
    return reason == refusal_reason::queue_full || reason == refusal_reason::cannot_finish ||
           reason == refusal_reason::deadline_passed;
}

} // namespace

unknown_ticket::unknown_ticket(admission_ticket ticket)
    : error("ticket " + std::to_string(ticket.value) + " is not running")
{
}

admission_core::admission_core(admission_policy policy, std::uint64_t seed,
                               admission_options options)
    : policy_(std::move(policy)), options_(options), random_state_(seed), queue_(make_queue()),
      costs_(policy_.kinds.size(), policy_.groups.size(), options_.initial_slot_time),
      fractions_(policy_.kinds.size(), policy_.groups.size(), options_.fractions),
      running_by_flow_(policy_.kinds.size() * policy_.groups.size()),
      started_by_rank_(policy_.ranks.size())
{
}

bool admission_core::has_spare_capacity(std::uint32_t limit, mono_time now) const
{
    return queue_.size() == 0 && in_flight() < effective_limit(limit, now);
}

fair_queue admission_core::make_queue() const
{
    return {policy_, queue_bound(policy_, options_), options_.share_window};
}

std::uint32_t admission_core::effective_limit(std::uint32_t limit, mono_time now) const
{
    if (!cold_since_ || now - *cold_since_ >= options_.cold_start_ramp) {
        return std::max(1U, limit);
    }
    const double progress =
        static_cast<double>((now - *cold_since_).count()) /
        static_cast<double>(mono_time::duration(options_.cold_start_ramp).count());
    const double fraction =
        options_.cold_start_fraction + (1.0 - options_.cold_start_fraction) * progress;
    return std::max(1U, static_cast<std::uint32_t>(fraction * limit));
}

std::uint32_t& admission_core::running_count(const flow_id& flow)
{
    return running_by_flow_.at(flow.kind.value * policy_.groups.size() + flow.group.value);
}

queued_item admission_core::make_item(const work_item& work, mono_time now)
{
    queued_item item{admission_ticket{++last_ticket_}, work, work.deadline,
                     refusal_reason::deadline_passed};
    // A flow without running work may start regardless of its estimated slot time. Otherwise an
    // estimate that exceeded the deadline after a slow period would never be updated.
    if (running_count({work.kind, work.group}) > 0) {
        item.latest_start = work.deadline - costs_.mean(work.kind, work.group);
        item.late_reason = refusal_reason::cannot_finish;
    }
    if (now + options_.max_wait < item.latest_start) {
        item.latest_start = now + options_.max_wait;
        item.late_reason = refusal_reason::queue_full;
    }
    return item;
}

bool admission_core::can_start_in_time(const queued_item& item, std::uint32_t limit,
                                       mono_time now) const
{
    const double before = queue_.starts_ahead_of(item.work.kind, item.work.group);
    const double rounds = before / static_cast<double>(limit);
    const auto wait = std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(
        rounds * static_cast<double>(costs_.overall_mean().count())));
    return item.latest_start > now + wait;
}

admission_ticket admission_core::offer(const work_item& work, std::uint32_t limit, mono_time now,
                                       admission_changes& changes)
{
    fractions_.count_offered(work.kind, work.group);
    refuse_expired(now, changes);
    const auto item = make_item(work, now);
    if (work.deadline <= now) {
        refuse(item, refusal_reason::deadline_passed, changes);
    }
    else if (!can_start_in_time(item, effective_limit(limit, now), now)) {
        refuse(item,
               item.late_reason == refusal_reason::queue_full ? refusal_reason::queue_full
                                                              : refusal_reason::cannot_finish,
               changes);
    }
    else {
        queue_.push(item);
    }
    start_waiting(limit, now, changes);
    evict_over_bound(now, changes);
    fractions_.advance(now, has_spare_capacity(limit, now));
    return item.ticket;
}

limit_sample admission_core::finish(admission_ticket ticket, const completion& c,
                                    std::uint32_t limit, mono_time now)
{
    const auto found = running_.find(ticket.value);
    if (found == running_.end()) {
        throw unknown_ticket(ticket);
    }
    limit_sample sample{now, c.duration, c.duration, in_flight(), false, c.result};
    sample.limit_reached = in_flight() >= limit;
    if (const auto& flow = found->second.flow) {
        sample.baseline = costs_.baseline(flow->kind, flow->group);
        if (c.result == completion_result::ok) {
            costs_.observe(flow->kind, flow->group, c.duration);
        }
        if (c.result == completion_result::shed) {
            fractions_.count_refused(flow->kind, flow->group);
        }
    }
    end_running(found->second);
    running_.erase(found);
    return sample;
}

void admission_core::end_running(const running_work& r)
{
    if (r.flow) {
        --running_count(*r.flow);
    }
}

void admission_core::cancel(admission_ticket ticket, mono_time now)
{
    if (const auto item = queue_.erase(ticket)) {
        count_refusal(item->work, refusal_reason::cancelled);
        return;
    }
    const auto found = running_.find(ticket.value);
    if (found == running_.end()) {
        return;
    }
    // Work that ran longer than the mean before its cancellation shows that the flow has become
    // slower.
    if (const auto& flow = found->second.flow) {
        const auto elapsed = now - found->second.started;
        if (elapsed > costs_.mean(flow->kind, flow->group)) {
            costs_.observe(flow->kind, flow->group, elapsed);
        }
    }
    end_running(found->second);
    running_.erase(found);
}

admission_changes admission_core::advance(std::uint32_t limit, mono_time now)
{
    admission_changes changes;
    refuse_expired(now, changes);
    start_waiting(limit, now, changes);
    fractions_.advance(now, has_spare_capacity(limit, now));
    return changes;
}

void admission_core::refuse_expired(mono_time now, admission_changes& changes)
{
    while (const auto item = queue_.pop_expired(now)) {
        refuse(*item,
               item->work.deadline <= now ? refusal_reason::deadline_passed : item->late_reason,
               changes);
    }
}

void admission_core::start_waiting(std::uint32_t limit, mono_time now, admission_changes& changes)
{
    const auto allowed = effective_limit(limit, now);
    while (in_flight() < allowed) {
        const auto item = queue_.pop_next(now, costs_);
        if (!item) {
            return;
        }
        const flow_id flow{item->work.kind, item->work.group};
        running_.emplace(item->ticket.value, running_work{flow, now});
        ++running_count(flow);
        ++started_by_rank_[policy_.at(flow.kind).rank.value];
        changes.started.push_back(item->ticket);
    }
}

void admission_core::evict_over_bound(mono_time now, admission_changes& changes)
{
    while (queue_.size() > queue_.bound()) {
        refuse(*queue_.pop_victim(now, costs_), refusal_reason::queue_full, changes);
    }
}

void admission_core::refuse(const queued_item& item, refusal_reason reason,
                            admission_changes& changes)
{
    count_refusal(item.work, reason);
    if (is_overload(reason)) {
        fractions_.count_refused(item.work.kind, item.work.group);
    }
    changes.refused.push_back({item.ticket, reason, jittered_retry_after(item.work)});
}

void admission_core::count_refusal(const work_item& work, refusal_reason reason)
{
    ++refusals_[{policy_.at(work.kind).rank, work.group, reason}];
}

std::chrono::milliseconds admission_core::jittered_retry_after(const work_item& work)
{
    const double min_delay = static_cast<double>(options_.min_retry_after.count());
    const double max_delay = static_cast<double>(options_.max_retry_after.count());
    const double base = std::min(max_delay, min_delay / fractions_.fraction(work.kind, work.group));
    random_state_ += splitmix64_increment;
    const double draw = static_cast<double>(mix64(random_state_) >> 11U) * 0x1p-53;
    return std::chrono::milliseconds(std::llround(base * (0.5 + draw)));
}

std::optional<mono_time> admission_core::next_wakeup(mono_time now) const
{
    auto next = queue_.next_expiry();
    const auto consider = [&next](mono_time t) { next = next ? std::min(*next, t) : t; };
    if (fractions_.recovering()) {
        consider(std::max(now, fractions_.interval_end()));
    }
    if (queue_.size() > 0 && cold_since_ && now - *cold_since_ < options_.cold_start_ramp) {
        // The ramp is applied in 100 steps.
        consider(now + options_.cold_start_ramp / 100);
    }
    return next;
}

double admission_core::admit_fraction(kind_index kind, group_index group) const
{
    return fractions_.fraction(kind, group);
}

admission_snapshot admission_core::snapshot(std::uint32_t limit, mono_time now) const
{
    admission_snapshot s;
    s.limit = effective_limit(limit, now);
    s.in_flight = in_flight();
    s.started_by_rank = started_by_rank_;
    for (std::uint32_t r = 0; r < policy_.ranks.size(); ++r) {
        s.queued_by_rank.push_back(queue_.size(rank_index{r}));
    }
    for (const auto& [key, count] : refusals_) {
        s.refusals.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), count});
    }
    return s;
}

} // namespace trefoil
