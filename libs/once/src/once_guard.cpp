#include "once/once_guard.h"

#include "once/owner_of.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace trefoil {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

outcome outcome_without_ownership(send_attempt attempt) noexcept
{
    return attempt == 0U ? outcome::not_run : outcome::unknown;
}

once_guard::once_guard(const once_options& options, vm_name self, service_name service,
                       mono_time started)
    : options_(options), self_(std::move(self)), service_(std::move(service)), history_(options_),
      grants_(options_, history_, started), lease_(options_, self_, history_, grants_, started),
      ledger_(options_)
{
}

admit_decision once_guard::admit(const request_id& id, send_attempt attempt, mono_time now,
                                 wall_time wall)
{
    const auto entry = ledger_.find(id);
    if (entry.answer) {
        return replay{entry.answer};
    }
    if (entry.state != id_state::absent && entry.state != id_state::refused) {
        return refusal{outcome::unknown, refusal_reason::already_handed_off};
    }
    if (!entry.may_run(attempt)) {
        return refusal{outcome_without_ownership(attempt), refusal_reason::cancelled};
    }
    const auto reason = check_ownership(id, now, wall);
    if (reason == refusal_reason::none) {
        return proceed{};
    }
    return refuse_as(id, attempt, reason, false, now, wall);
}

hand_off_decision once_guard::begin_hand_off(const request_id& id, send_attempt attempt,
                                             mono_time now, wall_time wall)
{
    refusal_reason reason = refusal_reason::none;
    mono_time lease_end;
    {
        const std::lock_guard lock(lease_mutex_);
        reason = check_locked(id, wall, now);
        lease_end = lease_.until();
    }
    // The upstream compares this time with the wall clock, which may be set back by up to the
    // allowed skew.
    const wall_time expires_at =
        wall + duration_cast<milliseconds>(lease_end - now) - options_.clock_skew;
    if (reason == refusal_reason::none && expires_at <= wall) {
        return refuse_as(id, attempt, refusal_reason::no_lease, true, now, wall);
    }
    if (reason != refusal_reason::none) {
        return refuse_as(id, attempt, reason, false, now, wall);
    }
    const auto begun = ledger_.begin(id, attempt, expiry(id, now, wall), now);
    if (begun.recorded) {
        return hand_off{expires_at};
    }
    if (begun.full) {
        return refuse_as(id, attempt, refusal_reason::queue_full, true, now, wall);
    }
    if (begun.found.answer) {
        return replay{begun.found.answer};
    }
    if (begun.found.state == id_state::refused) {
        return refusal{outcome_without_ownership(attempt), refusal_reason::cancelled};
    }
    return refusal{outcome::unknown, refusal_reason::already_handed_off};
}

void once_guard::finish(const request_id& id, std::string answer)
{
    ledger_.finish(id, std::move(answer));
}

refusal once_guard::record_not_started(const request_id& id, send_attempt attempt,
                                       refusal_reason reason)
{
    // For a send without an attempt number there is no record that prevents an earlier send from
    // running.
    const bool known = ledger_.record_not_started(id) && attempt.has_value();
    return {known ? outcome::not_run : outcome::unknown, reason};
}

refusal once_guard::record_unknown_outcome(const request_id& id, refusal_reason reason)
{
    ledger_.record_unknown_outcome(id);
    return {outcome::unknown, reason};
}

refusal once_guard::refuse(const request_id& id, send_attempt attempt, refusal_reason reason,
                           mono_time now, wall_time wall)
{
    const bool owner_confirmed = check_ownership(id, now, wall) == refusal_reason::none;
    return refuse_as(id, attempt, reason, owner_confirmed, now, wall);
}

refusal once_guard::refuse_as(const request_id& id, send_attempt attempt, refusal_reason reason,
                              bool owner_confirmed, mono_time now, wall_time wall)
{
    const auto state = ledger_.find(id).state;
    if (reason == refusal_reason::id_expired ||
        (state != id_state::absent && state != id_state::refused)) {
        return {outcome::unknown, reason};
    }
    if (attempt == 0U) {
        return {outcome::not_run, reason};
    }
    // An earlier send may still be in transit. The record prevents it from running after this
    // answer.
    const bool known = owner_confirmed && attempt.has_value() &&
                       ledger_.refuse(id, *attempt, expiry(id, now, wall), now);
    return {known ? outcome::not_run : outcome::unknown, reason};
}

void once_guard::update_list(const vm_list& list, mono_time now)
{
    const std::lock_guard lock(lease_mutex_);
    lease_.update_list(member_list::of_service(list, service_), now);
}

std::vector<lease_call> once_guard::poll(mono_time now, wall_time wall, std::uint64_t random)
{
    const std::lock_guard lock(lease_mutex_);
    return lease_.poll(now, wall, random);
}

std::chrono::milliseconds once_guard::poll_interval() const
{
    const std::lock_guard lock(lease_mutex_);
    return lease_.poll_interval();
}

grant_result once_guard::grant(const grant_request& request, mono_time now)
{
    const std::lock_guard lock(lease_mutex_);
    lease_.observe_revision(request.revision);
    return grants_.grant(request, now);
}

void once_guard::receive(const lease_call& call, const grant_result& result, mono_time now,
                         wall_time wall)
{
    const std::lock_guard lock(lease_mutex_);
    lease_.receive(call, result, now, wall);
}

list_revision once_guard::revision_to_fetch() const
{
    const std::lock_guard lock(lease_mutex_);
    const auto* current = history_.current();
    const auto held = current == nullptr ? list_revision() : current->revision();
    return lease_.observed_revision() > held ? lease_.observed_revision() : list_revision();
}

bool once_guard::holds_lease(mono_time now) const
{
    const std::lock_guard lock(lease_mutex_);
    return lease_.holds(now);
}

refusal_reason once_guard::check_ownership(const request_id& id, mono_time now,
                                           wall_time wall) const
{
    const std::lock_guard lock(lease_mutex_);
    return check_locked(id, wall, now);
}

refusal_reason once_guard::check_locked(const request_id& id, wall_time wall, mono_time now) const
{
    const auto created = id.created_at();
    if (created > wall + options_.clock_skew) {
        return refusal_reason::malformed;
    }
    if (wall - created > options_.id_lifetime) {
        return refusal_reason::id_expired;
    }
    const auto* current = history_.current();
    const auto* owner = current == nullptr ? nullptr : owner_of(id, *current);
    if (current == nullptr || owner == nullptr || *owner != self_) {
        return refusal_reason::not_owner;
    }
    if (!lease_.holds(now)) {
        return refusal_reason::no_lease;
    }
    // An earlier owner accepted ids created up to the skew ahead of its clock, which may itself be
    // ahead of this node's clock by the skew.
    if (created <= lease_.held_since() + 2 * options_.clock_skew) {
        return refusal_reason::ownership_uncertain;
    }
    return refusal_reason::none;
}

mono_time once_guard::expiry(const request_id& id, mono_time now, wall_time wall) const
{
    return now + (id.created_at() + options_.id_lifetime - wall);
}

} // namespace trefoil
