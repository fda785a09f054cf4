#include "service_view.h"

#include <algorithm>

namespace trefoil {

void service_view::mark_trials(mono_time now)
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

bool service_view::suspects_most(const vm_name& own_vm, mono_time now,
                                 const member_view_options& options) const
{
    std::size_t others = 0;
    std::size_t with_evidence = 0;
    std::size_t suspected = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (candidates[i].leaving || candidates[i].vm == own_vm) {
            continue;
        }
        const auto& health = members[i].health;
        ++others;
        suspected += health.own_suspected() ? 1 : 0;
        with_evidence += health.own_suspected() || health.has_evidence(now, options) ? 1 : 0;
    }
    // A node that is cut off notices it on the targets it calls most, before the others.
    return suspected * 2 > others || (suspected >= 2 && suspected * 2 > with_evidence);
}

} // namespace trefoil
