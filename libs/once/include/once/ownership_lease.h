#pragma once

#include "base/names.h"
#include "base/time.h"
#include "once/lease_grants.h"
#include "once/lease_messages.h"
#include "once/list_history.h"
#include "once/once_options.h"

#include <cstdint>
#include <map>
#include <vector>

namespace trefoil {

/// The requesting side of leases. At any time all valid leases of a service are for the same
/// members, except in the case described in docs/at-most-once.md. Not thread-safe; once_guard holds
/// it under a lock.
class ownership_lease {
public:
    /// `history` and `grants` are those of the same node and must outlive this object.
    ownership_lease(const once_options& options, vm_name self, list_history& history,
                    lease_grants& grants, mono_time started);

    /// Adopts a list. A change of members ends the lease.
    void update_list(member_list list, mono_time now);

    /// The requests to send now; each counts as sent at `now`. Call it at least every
    /// poll_interval(). `random` spreads the renewals. `wall` must be read after `now`.
    std::vector<lease_call> poll(mono_time now, wall_time wall, std::uint64_t random);

    /// Time between calls of poll().
    std::chrono::milliseconds poll_interval() const;

    /// Takes a peer's answer to a call that poll() returned. `wall` must be read after `now`.
    void receive(const lease_call& call, const grant_result& result, mono_time now, wall_time wall);

    /// Records a list revision that a message mentions. If it is above the node's own, the node
    /// renews nothing until it has fetched that list.
    void observe_revision(list_revision revision) noexcept;

    /// Highest revision known to exist; the node fetches it if it is above its own.
    list_revision observed_revision() const noexcept { return observed_; }

    bool holds(mono_time now) const noexcept { return now < until_; }
    /// End of the lease; in the past if none is held.
    mono_time until() const noexcept { return until_; }

    /// Wall time at which the current unbroken lease was first held. Whatever ran under another
    /// owner was accepted there before. Meaningful only while holds().
    wall_time certain_since() const noexcept { return certain_since_; }

private:
    struct peer_state {
        /// End of the peer's grant for the current members.
        mono_time granted_until;
        mono_time renew_at;
        /// No request is sent to the peer before this time.
        mono_time retry_at;
        bool pending = false;
        bool answered = false;
        bool ready = false;
        unsigned failures = 0;
    };

    void ask_self(mono_time now);
    void update_readiness(mono_time now);
    void update_lease(mono_time now, wall_time wall);
    bool is_required(const list_history::older_list& list) const;
    mono_time granted_until(const vm_name& name) const;
    mono_time majority_until(const member_list& list) const;
    mono_time required_until(const list_history::older_list& list, mono_time now) const;
    std::vector<const vm_name*> peers_to_ask(const member_list& list, mono_time now) const;

    const once_options* options_;
    vm_name self_;
    list_history* history_;
    lease_grants* grants_;
    mono_time started_;
    list_revision observed_;
    bool relearned_ = false;
    std::map<vm_name, peer_state> peers_;
    mono_time until_;
    wall_time certain_since_;
};

} // namespace trefoil
