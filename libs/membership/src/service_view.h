#pragma once

#include "membership/member_view.h"
#include "target_health.h"

#include <cstddef>
#include <vector>

namespace trefoil {

/// One VM of a service, beside its target_candidate.
struct member {
    vm_entry entry;
    vm_incarnation incarnation;
    target_health health;
    membership_reason leaving_because = membership_reason::none;
};

/// The targets of one service. `members` and `candidates` have the same order.
struct service_view {
    std::vector<member> members;
    std::vector<target_candidate> candidates;
    /// No trial is due before this, so that most calls need not look for one.
    mono_time next_trial = mono_time::max();
    bool self_suspected = false;

    /// Marks the suspected targets that are due for a trial.
    void mark_trials(mono_time now);

    /// Finds the time of the next trial.
    void schedule_trials();

    /// Whether the own calls suspect most of the service.
    bool suspects_most(const vm_name& own_vm) const;

    /// Whether a suspicion may be reported to peers: since the target began to fail, more of the
    /// other targets answered than failed. Otherwise the fault may be the node's own. A node that
    /// is cut off has no success after the cut, so it reports none of the suspicions that follow.
    bool is_reportable(std::size_t index, const vm_name& own_vm) const;
};

} // namespace trefoil
