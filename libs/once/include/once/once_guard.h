#pragma once

#include "base/names.h"
#include "base/request_id.h"
#include "base/time.h"
#include "once/id_ledger.h"
#include "once/lease_grants.h"
#include "once/lease_messages.h"
#include "once/list_history.h"
#include "once/once_decision.h"
#include "once/once_options.h"
#include "once/ownership_lease.h"
#include "wire/vm_list.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace trefoil {

/// Ensures at-most-once execution of once-only kinds on the node of one target. Thread-safe.
///
/// Call order: admit(); when a slot is free, begin_hand_off(); write the request to the upstream
/// with the returned expiry time; then exactly one of finish(), record_not_started() and
/// record_unknown_outcome(). A request that is dropped between admit() and begin_hand_off() is
/// answered with the result of refuse().
///
/// Read `wall` before `now` for the calls above, and after it for poll() and receive(). A pause
/// between the two clock reads then only makes the node refuse more.
class once_guard {
public:
    once_guard(const once_options& options, vm_name self, service_name service, mono_time started);

    /// Checks a request on arrival. `attempt` is 0 for a first send, either because the caller
    /// stated it or because the receiving node generated the id.
    admit_decision admit(const request_id& id, send_attempt attempt, mono_time now, wall_time wall);

    /// Repeats the checks and records the hand-off. Call it immediately before the request is
    /// written.
    hand_off_decision begin_hand_off(const request_id& id, send_attempt attempt, mono_time now,
                                     wall_time wall);

    /// Records the upstream's answer, which is returned for repeated sends of the id.
    void finish(const request_id& id, std::string answer);
    /// Records that the upstream shed the request, or that the connection failed before a byte was
    /// written; the id may run again. Returns the refusal to send to the caller.
    refusal record_not_started(const request_id& id, send_attempt attempt, refusal_reason reason);
    /// Records that the outcome is not known. Returns the refusal to send to the caller.
    refusal record_unknown_outcome(const request_id& id, refusal_reason reason);

    /// Outcome to report when this node refuses the request for another reason, for example a full
    /// queue. Records the id if the answer `not-run` requires that earlier sends never run.
    refusal refuse(const request_id& id, send_attempt attempt, refusal_reason reason, mono_time now,
                   wall_time wall);

    /// Makes `list` the current VM list if it is newer than the one held.
    void update_list(const vm_list& list, mono_time now);
    /// Returns the lease requests to send now. Call it every poll_interval(); `random` adds jitter
    /// to the renewal times.
    std::vector<lease_call> poll(mono_time now, wall_time wall, std::uint64_t random);
    std::chrono::milliseconds poll_interval() const;
    /// Answers a peer's lease request.
    grant_result grant(const grant_request& request, mono_time now);
    /// Processes a peer's answer to a call that poll() returned.
    void receive(const lease_call& call, const grant_result& result, mono_time now, wall_time wall);

    /// Revision of a newer VM list that the node should fetch; 0 if none is known.
    list_revision revision_to_fetch() const;
    /// Whether the node holds a lease, and so may run once-only work, at `now`.
    bool holds_lease(mono_time now) const;
    const id_ledger& ledger() const noexcept { return ledger_; }

private:
    /// refusal_reason::none if this node is the owner of the id at `now` and no earlier owner can
    /// have accepted the id.
    refusal_reason check_ownership(const request_id& id, mono_time now, wall_time wall) const;
    /// Caller holds lease_mutex_.
    refusal_reason check_locked(const request_id& id, wall_time wall, mono_time now) const;
    refusal refuse_as(const request_id& id, send_attempt attempt, refusal_reason reason,
                      bool owner_confirmed, mono_time now, wall_time wall);
    mono_time expiry(const request_id& id, mono_time now, wall_time wall) const;

    once_options options_;
    vm_name self_;
    service_name service_;
    mutable std::mutex lease_mutex_;
    list_history history_;
    lease_grants grants_;
    ownership_lease lease_;
    id_ledger ledger_;
};

} // namespace trefoil
