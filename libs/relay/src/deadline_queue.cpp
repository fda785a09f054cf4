#include "deadline_queue.h"

#include <chrono>
#include <utility>

namespace trefoil {

namespace {

/// Actions due within this time run together.
constexpr std::chrono::milliseconds granularity{5};

} // namespace

void deadline_queue::at(mono_time when, std::function<void()> action)
{
    actions_.emplace(when, std::move(action));
    arm();
}

void deadline_queue::arm()
{
    if (actions_.empty() || actions_.begin()->first + granularity >= armed_for_) {
        return;
    }
    armed_for_ = actions_.begin()->first;
    timer_.expires_after(armed_for_ - boot_clock::now() + granularity);
    timer_.async_wait([this](auto error) {
        if (!error) {
            run_due();
        }
    });
}

void deadline_queue::run_due()
{
    armed_for_ = mono_time::max();
    const auto now = boot_clock::now();
    while (!actions_.empty() && actions_.begin()->first <= now) {
        const auto action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
    arm();
}

} // namespace trefoil
