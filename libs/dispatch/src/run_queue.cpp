#include "dispatch/run_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace trefoil {

namespace {

std::chrono::nanoseconds smoothed(std::chrono::nanoseconds old, std::chrono::nanoseconds next,
                                  double weight)
{
    if (old.count() == 0) {
        return next;
    }
    const auto change = static_cast<double>((next - old).count()) * weight;
    return old + std::chrono::nanoseconds(static_cast<std::int64_t>(change));
}

} // namespace

run_queue::position run_queue::position_of(const waiting_call& call)
{
    const auto urgency = call.rank == 0 && !call.nested ? 0U : 1U;
    return {urgency, call.request_deadline, call.ticket};
}

void run_queue::offer(const waiting_call& call, mono_time now)
{
    const auto min_run_time =
        std::chrono::duration<double>(hold(call.route)) * options_.min_run_fraction;
    const auto latest =
        call.deadline - std::chrono::duration_cast<std::chrono::nanoseconds>(min_run_time);
    const auto where = position_of(call);
    waiting_.emplace(where, waiting{call, now, latest});
    positions_.emplace(call.ticket, where);
    by_latest_start_.emplace(latest, call.ticket);
    by_arrival_.emplace(now, call.ticket);
}

void run_queue::finish(std::uint64_t ticket, bool completed, mono_time now)
{
    const auto it = running_.find(ticket);
    if (it == running_.end()) {
        return;
    }
    if (completed) {
        const auto time = now - it->second.since;
        run_times_[it->second.route].record(time, options_.hold_smoothing);
        mean_hold_ = smoothed(mean_hold_, time, options_.hold_smoothing);
    }
    running_.erase(it);
}

void run_queue::erase(std::map<position, waiting>::iterator it)
{
    const auto ticket = it->second.call.ticket;
    const auto [begin, end] = by_latest_start_.equal_range(it->second.latest_start);
    const auto entry =
        std::find_if(begin, end, [ticket](const auto& pair) { return pair.second == ticket; });
    if (entry != end) {
        by_latest_start_.erase(entry);
    }
    positions_.erase(ticket);
    by_arrival_.erase({it->second.since, ticket});
    waiting_.erase(it);
}

bool run_queue::remove_waiting(std::uint64_t ticket)
{
    const auto where = positions_.find(ticket);
    if (where == positions_.end()) {
        return false;
    }
    erase(waiting_.find(where->second));
    return true;
}

void run_queue::reject_late(mono_time now, run_changes& changes)
{
    while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
        const auto ticket = by_latest_start_.begin()->second;
        changes.refused.push_back(ticket);
        remove_waiting(ticket);
    }
}

void run_queue::reject_overflow(run_changes& changes)
{
    const auto max_waiting =
        static_cast<std::size_t>(std::ceil(slots_ * options_.waiting_per_slot));
    while (waiting_.size() > max_waiting) {
        const auto last = std::prev(waiting_.end());
        changes.refused.push_back(last->second.call.ticket);
        erase(last);
    }
}

run_changes run_queue::advance(mono_time now)
{
    run_changes changes;

    reject_late(now, changes);
    while (running_.size() < slots_ && !waiting_.empty()) {
        const auto first = waiting_.begin();
        const auto& call = first->second.call;

        running_.emplace(call.ticket, running{call.route, now});
        changes.started.push_back(call.ticket);
        erase(first);
    }
    reject_overflow(changes);
    return changes;
}

std::optional<mono_time> run_queue::next_wakeup() const
{
    if (by_latest_start_.empty()) {
        return std::nullopt;
    }
    return by_latest_start_.begin()->first;
}

std::chrono::nanoseconds run_queue::hold(std::uint32_t route) const
{
    const auto it = run_times_.find(route);
    return it == run_times_.end()
               ? std::chrono::nanoseconds(options_.initial_hold)
               : std::chrono::duration_cast<std::chrono::nanoseconds>(it->second.mean);
}

run_time run_queue::time_of(std::uint32_t route) const
{
    const auto it = run_times_.find(route);
    return it == run_times_.end() ? run_time{} : it->second;
}

std::chrono::nanoseconds run_queue::longest_wait(mono_time now) const
{
    return by_arrival_.empty() ? std::chrono::nanoseconds(0) : now - by_arrival_.begin()->first;
}

target_load run_queue::load() const
{
    return {static_cast<std::uint32_t>(running_.size()),
            static_cast<std::uint32_t>(waiting_.size()), slots_,
            std::chrono::duration_cast<std::chrono::milliseconds>(mean_hold_)};
}

} // namespace trefoil
