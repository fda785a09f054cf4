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

/// At-most-once execution of the once-only kinds on one target's node. Thread-safe.
///
/// Call path: admit(); when a slot is free, begin_hand_off(); write the request to the upstream
/// with the returned expiry; then exactly one of finish(), not_started() and lost(). A request that
/// is dropped between admit() and begin_hand_off() is answered with refuse().
///
/// On the call path `wall` must be read before `now`, and in poll() and receive() after it. A pause
/// between the two reads then only makes the node stricter.
class once_guard {
public:
    once_guard(const once_options& options, vm_name self, service_name service, mono_time started);

    /// Decides on arrival. `attempt` is 0 for a first send: stated by the caller, or for an id
    /// minted by the node that received it.
    admit_decision admit(const request_id& id, send_attempt attempt, mono_time now, wall_time wall);

    /// Repeats the checks and records the hand-off in one step. Call it right before the write.
    hand_off_decision begin_hand_off(const request_id& id, send_attempt attempt, mono_time now,
                                     wall_time wall);

    /// The upstream answered; the bytes are replayed to repeats.
    void finish(const request_id& id, std::string answer);
    /// The upstream shed the request, or the connection failed before a byte was written. Returns
    /// what to tell the caller; the id may run again.
    refusal not_started(const request_id& id, send_attempt attempt, refusal_reason reason);
    /// The outcome is not known. Returns what to tell the caller.
    refusal lost(const request_id& id, refusal_reason reason);

    /// The honest outcome of a refusal that this node makes for another reason, for example a full
    /// queue. Records the id where the answer `not-run` requires that earlier sends never run.
    refusal refuse(const request_id& id, send_attempt attempt, refusal_reason reason, mono_time now,
                   wall_time wall);

    /// Adopts a newer VM list; older ones are ignored.
    void update_list(const vm_list& list, mono_time now);
    /// The lease requests to send now. Call it every poll_interval().
    std::vector<lease_call> poll(mono_time now, wall_time wall, std::uint64_t random);
    std::chrono::milliseconds poll_interval() const;
    /// Answers a peer's lease request.
    grant_result grant(const grant_request& request, mono_time now);
    /// Takes a peer's answer to a call that poll() returned.
    void receive(const lease_call& call, const grant_result& result, mono_time now, wall_time wall);

    /// A revision above the node's own that the node should fetch; 0 if there is none.
    list_revision revision_to_fetch() const;
    /// Whether once-only work runs at `now`.
    bool holds_lease(mono_time now) const;
    const id_ledger& ledger() const noexcept { return ledger_; }

private:
    /// refusal_reason::none if this node is the certain owner of the id at `now`.
    refusal_reason check_ownership(const request_id& id, mono_time now, wall_time wall) const;
    /// Caller holds lease_mutex_.
    refusal_reason check_locked(const request_id& id, wall_time wall, mono_time now) const;
    refusal refuse_as(const request_id& id, send_attempt attempt, refusal_reason reason,
                      bool certain_owner, mono_time now, wall_time wall);
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
