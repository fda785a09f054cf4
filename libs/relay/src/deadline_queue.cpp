#include "deadline_queue.h"

#include <chrono>
#include <limits>
#include <utility>
#include <vector>

namespace trefoil {

namespace {

/// Actions that are due within this time of each other run together.
constexpr std::chrono::milliseconds granularity{5};

} // namespace

deadline_queue::entry deadline_queue::at(mono_time when, std::function<void()> action)
{
    const entry scheduled{when, ++last_number_};
    actions_.emplace(scheduled, std::move(action));
    arm();
    return scheduled;
}

void deadline_queue::arm()
{
    if (actions_.empty() || actions_.begin()->first.when + granularity >= armed_for_) {
        return;
    }
    armed_for_ = actions_.begin()->first.when;
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
    // Due actions are removed before any runs, since an action may add one that is already due;
    // that one runs at the next expiry of the timer.
    std::vector<std::function<void()>> due;
    const auto end = actions_.upper_bound({now, std::numeric_limits<std::uint64_t>::max()});
    for (auto it = actions_.begin(); it != end; ++it) {
        due.push_back(std::move(it->second));
    }
    actions_.erase(actions_.begin(), end);
    for (const auto& action : due) {
        action();
    }
    arm();
}

} // namespace trefoil
