#pragma once

#include "base/time.h"
#include "call_io/asio.h"

#include <functional>
#include <map>

namespace trefoil {

/// Runs actions at their times with one timer. An action that is no longer wanted is not removed;
/// it must check for itself. Most deadlines pass long after their requests ended, so this saves
/// setting and cancelling a timer for each.
class deadline_queue {
public:
    explicit deadline_queue(asio::io_context& context) : timer_(context) {}

    void at(mono_time when, std::function<void()> action);

private:
    void arm();
    void run_due();

    asio::steady_timer timer_;
    std::multimap<mono_time, std::function<void()>> actions_;
    mono_time armed_for_ = mono_time::max();
};

} // namespace trefoil
