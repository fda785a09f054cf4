#pragma once

#include "membership/member_view.h"
#include "target_health.h"

#include <cstddef>
#include <vector>

namespace trefoil {

/// Data of one VM of a service that target_candidate does not contain.
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
    /// Time before which no trial becomes due, so that most calls need not search for one.
    mono_time next_trial = mono_time::max();
    bool self_suspected = false;

    /// Sets `trial_due` of the suspected targets whose next trial is due.
    void update_due_trials(mono_time now);

    /// Updates next_trial.
    void schedule_trials();

    /// Whether more than half of the other targets are suspected because of own calls. Leaving
    /// targets are not counted.
    bool suspects_majority(const vm_name& own_vm) const;

    /// Whether a suspicion may be reported to peers: since the target began to fail, more targets
    /// answered than failed. Otherwise the fault may be that of this node. A partitioned node has
    /// no successful calls after the partition and therefore reports no suspicion caused by it.
    bool is_reportable(std::size_t index, const vm_name& own_vm) const;
};

} // namespace trefoil
