#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace trefoil {

/// A thread that calls a function again and again until it is destroyed.
class periodic_thread {
public:
    /// `step` returns how long to wait before the next call.
    explicit periodic_thread(std::function<std::chrono::nanoseconds()> step);

    /// Waits for the running step to end.
    ~periodic_thread();
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;

    /// Ends the current wait at once.
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
