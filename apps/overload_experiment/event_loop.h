#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace trefoil::experiment {

/// Runs events in the order of a virtual clock; events of equal time run in the order they were
/// added, so that a run depends on its seed alone.
class event_loop {
public:
    mono_time now() const noexcept { return now_; }

    void at(mono_time time, std::function<void()> action)
    {
        events_.push({std::max(time, now_), ++sequence_, std::move(action)});
    }
    void after(mono_time::duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Runs all events up to `end`.
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
        // Moved out of the queue's constant top before it is removed.
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
