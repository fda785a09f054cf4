#pragma once

#include "base/time.h"
#include "call_io/asio.h"

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>

namespace trefoil {

/// Runs actions at given times with a single timer, which saves setting and cancelling a timer per
/// request: most requests end long before their deadlines.
class deadline_queue {
public:
    /// Identifies a scheduled action.
    struct entry {
        mono_time when;
        std::uint64_t number = 0;

        friend bool operator<(const entry& a, const entry& b)
        {
            return std::tie(a.when, a.number) < std::tie(b.when, b.number);
        }
    };

    explicit deadline_queue(asio::io_context& context) : timer_(context) {}

    /// Schedules an action; it may run a few milliseconds late.
    entry at(mono_time when, std::function<void()> action);

    /// Removes an action; does nothing if it has run. Without this it would keep memory for its
    /// request until the deadline.
    void cancel(const entry& scheduled) { actions_.erase(scheduled); }

private:
    void arm();
    void run_due();

    asio::steady_timer timer_;
    std::map<entry, std::function<void()>> actions_;
    std::uint64_t last_number_ = 0;
    mono_time armed_for_ = mono_time::max();
};

} // namespace trefoil
