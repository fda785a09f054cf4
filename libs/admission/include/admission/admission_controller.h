#pragma once

#include "admission/admission_core.h"
#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace trefoil {

/// Admission control of one target. Combines an adaptive concurrency limit, a bounded fair queue
/// and admit fractions. Performs no I/O. Not thread-safe: the node serializes calls with a mutex.
/// `now` must not decrease between calls.
template<concurrency_limit Limit>
class admission_controller {
public:
    /// `seed` initializes the pseudo-random jitter of the retry-after delays.
    admission_controller(admission_policy policy, std::uint64_t seed,
                         admission_options options = {})
        : admission_controller(Limit(policy.slots), std::move(policy), seed, options)
    {
    }

    /// Uses a limit that was constructed with non-default options.
    admission_controller(Limit limit, admission_policy policy, std::uint64_t seed,
                         admission_options options = {})
        : limit_(std::move(limit)), core_(std::move(policy), seed, options)
    {
    }

    /// Starts, queues or refuses the work item. Throws std::out_of_range if its kind or group index
    /// is not in the current policy.
    offer_result offer(const work_item& item, mono_time now)
    {
        offer_result result;
        result.ticket = core_.offer(item, limit_.current(), now, result.changes);
        return result;
    }

    /// Records the end of started work and starts waiting work in the freed slot. Throws
    /// unknown_ticket if the ticket is not running.
    admission_changes finish(admission_ticket ticket, const completion& c, mono_time now)
    {
        limit_.observe(core_.finish(ticket, c, limit_.current(), now));
        return core_.advance(limit_.current(), now);
    }

    /// Removes queued work, or frees the slot of started work whose connection the node closed.
    /// Ignores a ticket that has already ended, because a cancellation can race with a completion.
    /// The cancelled ticket is not listed in the changes.
    admission_changes cancel(admission_ticket ticket, mono_time now)
    {
        core_.cancel(ticket, now);
        return core_.advance(limit_.current(), now);
    }

    /// Refuses work whose latest start has passed, starts waiting work if the limit has risen, and
    /// updates the admit fractions.
    admission_changes poll(mono_time now) { return core_.advance(limit_.current(), now); }

    /// Time by which `poll` must be called if no other call is made before; none if nothing is
    /// pending.
    std::optional<mono_time> next_wakeup(mono_time now) const { return core_.next_wakeup(now); }

    /// Replaces the policy. Queued work keeps its order of arrival; queued work of a removed kind
    /// or group is refused with `unknown_object`. The limit is reset if the configured number of
    /// slots changed.
    admission_changes replace_policy(admission_policy policy, mono_time now)
    {
        if (policy.slots != core_.policy().slots) {
            limit_.restart(policy.slots);
        }
        admission_changes changes;
        core_.replace_policy(std::move(policy), limit_.current(), now, changes);
        return changes;
    }

    /// Reports that the upstream has just started. The effective limit then rises from
    /// `cold_start_fraction` to 1 times the limit over `cold_start_ramp`.
    admission_changes start_cold_ramp(mono_time now)
    {
        core_.start_cold_ramp(now);
        return core_.advance(limit_.current(), now);
    }

    /// Fraction of this flow's requests that is admitted, as of the last non-const call.
    double admit_fraction(kind_index kind, group_index group) const
    {
        return core_.admit_fraction(kind, group);
    }

    /// Current state for status pages and metrics.
    admission_snapshot snapshot(mono_time now) const
    {
        return core_.snapshot(limit_.current(), now);
    }

    const admission_policy& policy() const noexcept { return core_.policy(); }

private:
    Limit limit_;
    admission_core core_;
};

} // namespace trefoil
