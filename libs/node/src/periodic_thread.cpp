#include "periodic_thread.h"

#include "base/log_event.h"

#include <exception>
#include <utility>

namespace trefoil {

periodic_thread::periodic_thread(std::function<std::chrono::nanoseconds()> step)
    : step_(std::move(step)), thread_([this] { run(); })
{
}

periodic_thread::~periodic_thread()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void periodic_thread::wake()
{
    {
        const std::lock_guard lock(mutex_);
        woken_ = true;
    }
    changed_.notify_all();
}

void periodic_thread::run()
{
    constexpr std::chrono::seconds pause_after_failure{1};
    while (true) {
        std::chrono::nanoseconds wait = pause_after_failure;
        try {
            wait = step_();
        }
        catch (const std::exception& e) {
            // Exchanges, leases and platform watches depend on these threads, so a failed step must
            // not end one.
            log_event("background_step_failed").add("detail", e.what()).error();
        }
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait, [this] { return stopping_ || woken_; });
        woken_ = false;
        if (stopping_) {
            return;
        }
    }
}

} // namespace trefoil
