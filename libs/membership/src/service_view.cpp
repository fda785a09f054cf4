#include "service_view.h"

#include <algorithm>

namespace trefoil {

void service_view::update_due_trials(mono_time now)
{
    if (now < next_trial) {
        return;
    }
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto& health = members[i].health;
        candidates[i].trial_due = health.suspected() && health.next_trial() <= now;
    }
    schedule_trials();
}

void service_view::schedule_trials()
{
    next_trial = mono_time::max();
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (members[i].health.suspected() && !candidates[i].trial_due) {
            next_trial = std::min(next_trial, members[i].health.next_trial());
        }
    }
}

bool service_view::suspects_majority(const vm_name& own_vm) const
{
    std::size_t others = 0;
    std::size_t suspected = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (!candidates[i].leaving && candidates[i].vm != own_vm) {
            ++others;
            suspected += members[i].health.own_suspected() ? 1 : 0;
        }
    }
    return suspected * 2 > others;
}

bool service_view::is_reportable(std::size_t index, const vm_name& own_vm) const
{
    const auto& target = members[index].health;
    if (!target.own_suspected() || !target.failing() || candidates[index].leaving) {
        return false;
    }
    const auto since = target.failing_since();
    std::size_t failing = 1;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (i == index || candidates[i].vm == own_vm) {
            continue;
        }
        const auto& health = members[i].health;
        failing += health.failing() && health.last_result() >= since ? 1 : 0;
        answered += !health.failing() && health.last_result() > since ? 1 : 0;
    }
    return answered > failing;
}

} // namespace trefoil
