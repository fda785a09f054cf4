#pragma once

#include "base/time.h"
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
    /// Waiting requests for each slot; beyond it the least urgent is refused. Four waits of a
    /// service time are longer than most deadlines of nested calls allow.
    double waiting_per_slot = 4.0;
    /// A waiting request is refused once less than this part of its usual run time is left.
    double least_run_part = 0.6;
    /// Run time assumed for a route that has not completed a request.
    std::chrono::milliseconds initial_hold{50};
    /// Weight of a new run time in the smoothed one.
    double hold_smoothing = 0.1;
};

/// A request that waits for a slot of the own target.
struct waiting_call {
    std::uint64_t ticket = 0;
    std::uint32_t route = 0;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Made by a target in the course of a request, so that work was already spent on it.
    bool nested = false;
    mono_time deadline;
    /// Deadline of the request at the first hop that it belongs to; its own unless it is nested.
    mono_time request_deadline;
};

/// Which tickets changed state.
struct run_changes {
    std::vector<std::uint64_t> started;
    /// Will not run: there is no time left, or more urgent work fills the queue.
    std::vector<std::uint64_t> refused;
};

/// Decides the order in which requests use the slots of the own target.
///
/// Load pattern: calls multiply on the way down a call graph, so that the deepest service is
/// offered a multiple of its slots in short bursts. The target itself would serve them in order of
/// arrival and refuse what its queue cannot hold, whatever was already spent on them. Here the most
/// urgent rank goes first, and all others by the earliest deadline of the request at the first hop:
/// a request keeps its place for all its calls one after another, while their own deadlines, which
/// each call's time-out sets anew, would send it to the end for every call, so that under overload
/// none finishes. Ranks beyond the first count at the first hop, before any work. What cannot
/// finish in time is refused at once.
class run_queue {
public:
    explicit run_queue(std::uint32_t slots, run_queue_options options = {})
        : options_(options), slots_(slots)
    {
    }

    /// Changes the number of requests that run at once.
    void set_slots(std::uint32_t slots) { slots_ = slots; }
    std::uint32_t slots() const noexcept { return slots_; }

    /// Adds a request; `advance` starts or refuses it.
    void offer(const waiting_call& call, mono_time now);

    /// Ends a started request. `completed` tells that the target gave its answer, so that the run
    /// time counts. Unknown tickets are ignored, since cancellations race with ends.
    void finish(std::uint64_t ticket, bool completed, mono_time now);

    /// Removes a waiting request, for example because its caller went away. False if it does not
    /// wait.
    bool remove_waiting(std::uint64_t ticket);

    /// Starts and refuses what is due.
    run_changes advance(mono_time now);

    /// When `advance` must be called next if nothing else happens.
    std::optional<mono_time> next_wakeup() const;

    /// Smoothed time that a request of the route holds a slot.
    std::chrono::nanoseconds hold(std::uint32_t route) const;

    /// How long the oldest of the waiting requests has waited; 0 if none waits.
    std::chrono::nanoseconds longest_wait(mono_time now) const;

    target_load load() const;

private:
    /// Order of service: class, deadline of the request, ticket.
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
    void refuse_hopeless(mono_time now, run_changes& changes);
    void refuse_surplus(run_changes& changes);
    void erase(std::map<position, waiting>::iterator it);

    run_queue_options options_;
    std::uint32_t slots_;
    std::map<position, waiting> waiting_;
    std::unordered_map<std::uint64_t, position> positions_;
    /// Waiting requests by the latest time at which they may start.
    std::multimap<mono_time, std::uint64_t> by_latest_start_;
    std::unordered_map<std::uint64_t, running> running_;
    std::unordered_map<std::uint32_t, std::chrono::nanoseconds> holds_;
    std::chrono::nanoseconds mean_hold_{0};
    /// Waiting requests by arrival.
    std::set<std::pair<mono_time, std::uint64_t>> by_arrival_;
};

} // namespace trefoil
