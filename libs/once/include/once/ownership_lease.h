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

/// Requests and renews this node's lease. At any time all valid leases of a service are for the
/// same members, except in the case described in docs/at-most-once.md. Not thread-safe; once_guard
/// guards it with a mutex.
class ownership_lease {
public:
    /// `history` and `grants` are those of the same node and must outlive this object.
    ownership_lease(const once_options& options, vm_name self, list_history& history,
                    lease_grants& grants, mono_time started);

    /// Makes `list` the current one if it is newer. A change of members ends the lease.
    void update_list(member_list list, mono_time now);

    /// The requests to send now; each counts as sent at `now`. Call it at least every
    /// poll_interval(). `random` adds jitter to the renewal times. `wall` must be read after `now`.
    std::vector<lease_call> poll(mono_time now, wall_time wall, std::uint64_t random);

    /// Time between calls of poll().
    std::chrono::milliseconds poll_interval() const;

    /// Processes a peer's answer to a call that poll() returned. `wall` must be read after `now`.
    void receive(const lease_call& call, const grant_result& result, mono_time now, wall_time wall);

    /// Records a list revision seen in a message. If it is higher than that of the current list,
    /// the node renews no grant until it has fetched the newer list.
    void observe_revision(list_revision revision) noexcept;

    /// Highest list revision known to exist.
    list_revision observed_revision() const noexcept { return observed_; }

    bool holds(mono_time now) const noexcept { return now < until_; }
    /// End of the lease; in the past if none is held.
    mono_time until() const noexcept { return until_; }

    /// Wall time since which the lease has been held without a gap. Work that ran under another
    /// owner was accepted there before this time. Valid only while holds() is true.
    wall_time held_since() const noexcept { return held_since_; }

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

    void grant_to_self(mono_time now);
    void update_readiness(mono_time now);
    void update_lease(mono_time now, wall_time wall);
    bool is_required(const list_history::older_list& list) const;
    mono_time granted_until(const vm_name& name) const;
    mono_time majority_until(const member_list& list) const;
    mono_time required_until(const list_history::older_list& list, mono_time now) const;
    std::vector<const vm_name*> peers_to_request(const member_list& list, mono_time now) const;

    const once_options* options_;
    vm_name self_;
    list_history* history_;
    lease_grants* grants_;
    mono_time started_;
    list_revision observed_;
    bool recovered_ = false;
    std::map<vm_name, peer_state> peers_;
    mono_time until_;
    wall_time held_since_;
};

} // namespace trefoil
