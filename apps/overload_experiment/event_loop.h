#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace trefoil::experiment {

/// Discrete-event simulator with a virtual clock. Events of equal time run in the order in which
/// they were added, so that the result of a run depends only on its seed.
class event_loop {
public:
    mono_time now() const noexcept { return now_; }

    /// Schedules an action at a time, or now if the time has passed.
    void at(mono_time time, std::function<void()> action)
    {
        events_.push({std::max(time, now_), ++sequence_, std::move(action)});
    }
    /// Schedules an action after a delay.
    void after(mono_time::duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Runs all events up to and including `end` and sets the clock to `end`.
    void run_until(mono_time end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            now_ = events_.top().time;
            const auto action = std::move(events_.top().action);
            events_.pop();
            action();
        }
        now_ = end;
    }

private:
    struct event {
        mono_time time;
        std::uint64_t sequence = 0;
        // Mutable, since priority_queue::top is const and the action is moved out before pop.
        mutable std::function<void()> action;

        bool operator<(const event& other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    std::priority_queue<event> events_;
    mono_time now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
};

} // namespace trefoil::experiment
