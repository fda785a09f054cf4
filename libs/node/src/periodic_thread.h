#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace trefoil {

/// Thread that calls a function repeatedly until the object is destroyed.
class periodic_thread {
public:
    /// `step` returns the time to wait before the next call. After an exception the wait is 1 s.
    explicit periodic_thread(std::function<std::chrono::nanoseconds()> step);

    /// Stops the thread after the step that is running, and joins it.
    ~periodic_thread();
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;

    /// Ends the current wait, so that the next step starts immediately.
    void wake();

private:
    void run();

    std::function<std::chrono::nanoseconds()> step_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace trefoil
