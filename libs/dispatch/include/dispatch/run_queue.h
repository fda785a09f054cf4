#pragma once

#include "base/time.h"
#include "dispatch/run_time.h"
#include "dispatch/target_load.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoil {

/// Tuning of a run_queue.
struct run_queue_options {
    /// Maximum number of waiting requests per slot; above it the least urgent one is rejected.
    /// Waiting for four service times already exceeds the deadlines of most nested calls.
    double waiting_per_slot = 4.0;
    /// A waiting request is rejected once the time until its deadline is less than this fraction of
    /// the usual run time of its route.
    double min_run_fraction = 0.6;
    /// Run time assumed for a route that has not completed a request.
    std::chrono::milliseconds initial_hold{50};
    /// Weight of a new run time in the exponentially smoothed run time.
    double hold_smoothing = 0.1;
};

/// A request that waits for a slot of the node's own target.
struct waiting_call {
    std::uint64_t ticket = 0;
    std::uint32_t route = 0;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// The call was made by a target while it ran another request, so that work has already been
    /// spent on it.
    bool nested = false;
    /// Deadline of this call.
    mono_time deadline;
    /// Deadline of the request at the entry node that this call belongs to; equal to `deadline`
    /// unless the call is nested.
    mono_time request_deadline;
};

/// Tickets whose state changed.
struct run_changes {
    std::vector<std::uint64_t> started;
    /// Rejected: too little time is left, or the queue is full of more urgent requests.
    std::vector<std::uint64_t> refused;
};

/// Priority queue for the slots of the node's own target.
///
/// Load pattern: calls multiply along a call graph, so that the deepest service gets short bursts
/// of many times its slots. The target itself would serve them in order of arrival and reject what
/// does not fit into its queue, regardless of the work already spent on them.
///
/// Order: requests of rank 0 that are not nested come first; all others are ordered by the deadline
/// of their request at the entry node (earliest deadline first). A request thus keeps its position
/// for all of its sequential calls. Ordering by the deadline of each call would move a request to
/// the end of the queue with every call, since each call sets a new time-out, and under overload no
/// request would finish. Ranks other than 0 are distinguished only at the entry node, before any
/// work is done. Requests that cannot finish in time are rejected immediately.
class run_queue {
public:
    explicit run_queue(std::uint32_t slots, run_queue_options options = {})
        : options_(options), slots_(slots)
    {
    }

    /// Changes the number of requests that run concurrently. Running requests are not affected.
    void set_slots(std::uint32_t slots) { slots_ = slots; }
    std::uint32_t slots() const noexcept { return slots_; }

    /// Adds a request; a later `advance` starts or rejects it.
    void offer(const waiting_call& call, mono_time now);

    /// Ends a started request. `completed` is set if the target answered, so that the run time is
    /// included in the smoothed run times. Unknown tickets are ignored, because a cancellation may
    /// race with the end of a request.
    void finish(std::uint64_t ticket, bool completed, mono_time now);

    /// Removes a waiting request, for example because its caller disconnected. False if no such
    /// request is waiting.
    bool remove_waiting(std::uint64_t ticket);

    /// Rejects requests with too little time left, starts requests in free slots, and rejects what
    /// exceeds the bound of the queue.
    run_changes advance(mono_time now);

    /// Time at which `advance` must be called next if no request is added or ends before; none if
    /// no request is waiting.
    std::optional<mono_time> next_wakeup() const;

    /// Smoothed time for which a request of the route occupies a slot.
    std::chrono::nanoseconds hold(std::uint32_t route) const;

    /// Smoothed run time of the route; 0 if it has not completed a request.
    run_time time_of(std::uint32_t route) const;

    /// Wait time so far of the request that has waited longest; 0 if none is waiting.
    std::chrono::nanoseconds longest_wait(mono_time now) const;

    /// Current load, as reported to other nodes.
    target_load load() const;

private:
    /// Sort key: urgency class, deadline of the request at the entry node, ticket.
    using position = std::tuple<std::uint32_t, mono_time, std::uint64_t>;
    struct waiting {
        waiting_call call;
        mono_time since;
        mono_time latest_start;
    };
    struct running {
        std::uint32_t route = 0;
        mono_time since;
    };

    static position position_of(const waiting_call& call);
    void reject_late(mono_time now, run_changes& changes);
    void reject_overflow(run_changes& changes);
    void erase(std::map<position, waiting>::iterator it);

    run_queue_options options_;
    std::uint32_t slots_;
    std::map<position, waiting> waiting_;
    std::unordered_map<std::uint64_t, position> positions_;
    /// Tickets of waiting requests by the latest time at which they may start.
    std::multimap<mono_time, std::uint64_t> by_latest_start_;
    std::unordered_map<std::uint64_t, running> running_;
    std::unordered_map<std::uint32_t, run_time> run_times_;
    std::chrono::nanoseconds mean_hold_{0};
    /// Tickets of waiting requests by arrival.
    std::set<std::pair<mono_time, std::uint64_t>> by_arrival_;
};

} // namespace trefoil
