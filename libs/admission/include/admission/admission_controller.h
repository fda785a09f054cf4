#pragma once

#include "admission/admission_core.h"
#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace trefoil {

/// Decides which work runs now on this target: a learned concurrency limit, a short fair queue and
/// admit fractions. Does no input or output and is not thread-safe; the node calls it under one
/// lock. `now` must not decrease from call to call.
template<concurrency_limit Limit>
class admission_controller {
public:
    /// `seed` determines the jitter of the retry-after times.
    admission_controller(admission_policy policy, std::uint64_t seed,
                         admission_options options = {})
        : admission_controller(Limit(policy.slots), std::move(policy), seed, options)
    {
    }

    /// As above, with a limit whose own options differ from the defaults.
    admission_controller(Limit limit, admission_policy policy, std::uint64_t seed,
                         admission_options options = {})
        : limit_(std::move(limit)), core_(std::move(policy), seed, options)
    {
    }

    /// Starts, queues or refuses the work. Throws std::out_of_range if the kind or group index is
    /// not in the policy in force.
    offer_result offer(const work_item& item, mono_time now)
    {
        offer_result result;
        result.ticket = core_.offer(item, limit_.current(), now, result.changes);
        return result;
    }

    /// Ends started work and gives its slot to waiting work. Throws unknown_ticket if the ticket is
    /// not running.
    admission_changes finish(admission_ticket ticket, const completion& c, mono_time now)
    {
        limit_.observe(core_.finish(ticket, c, limit_.current(), now));
        return core_.advance(limit_.current(), now);
    }

    /// Drops queued work, or frees the slot of started work whose connection the node closed. A
    /// ticket that has already ended is ignored, since cancellations race with ends. The cancelled
    /// ticket is not listed in the changes.
    admission_changes cancel(admission_ticket ticket, mono_time now)
    {
        core_.cancel(ticket, now);
        return core_.advance(limit_.current(), now);
    }

    /// Refuses work that waited too long, and applies time-driven changes.
    admission_changes poll(mono_time now) { return core_.advance(limit_.current(), now); }

    /// When `poll` must be called next if nothing else happens; none if nothing is pending.
    std::optional<mono_time> next_wakeup(mono_time now) const { return core_.next_wakeup(now); }

    /// Puts a new policy in force. Queued work keeps its place; work of a removed kind or group is
    /// refused with `unknown_object`. The limit starts again if the configured slots changed.
    admission_changes replace_policy(admission_policy policy, mono_time now)
    {
        if (policy.slots != core_.policy().slots) {
            limit_.restart(policy.slots);
        }
        admission_changes changes;
        core_.replace_policy(std::move(policy), limit_.current(), now, changes);
        return changes;
    }

    /// Tells that the upstream just started: the limit ramps up from a small part of itself.
    admission_changes set_cold(mono_time now)
    {
        core_.set_cold(now);
        return core_.advance(limit_.current(), now);
    }

    /// Share of this flow that is admitted now, as of the last mutating call.
    double admit_fraction(kind_index kind, group_index group) const
    {
        return core_.admit_fraction(kind, group);
    }

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
