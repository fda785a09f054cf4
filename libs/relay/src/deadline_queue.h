#pragma once

#include "base/time.h"
#include "call_io/asio.h"

#include <functional>
#include <map>

namespace trefoil {

/// Runs actions at given times with a single timer. Actions cannot be removed, so each must check
/// whether it is still needed. Most deadlines pass long after their requests ended, so one shared
/// timer saves setting and cancelling a timer per request.
class deadline_queue {
public:
    explicit deadline_queue(asio::io_context& context) : timer_(context) {}

    /// Schedules an action; it may run a few milliseconds late.
    void at(mono_time when, std::function<void()> action);

private:
    void arm();
    void run_due();

    asio::steady_timer timer_;
    std::multimap<mono_time, std::function<void()>> actions_;
    mono_time armed_for_ = mono_time::max();
};

} // namespace trefoil
