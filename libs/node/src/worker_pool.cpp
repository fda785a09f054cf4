#include "worker_pool.h"

#include "base/log_event.h"

#include <exception>
#include <utility>

namespace trefoil {

worker_pool::worker_pool(std::size_t threads, std::size_t max_queue) : max_queue_(max_queue)
{
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        jobs_.clear();
    }
    changed_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
}

bool worker_pool::post(std::function<void()> job)
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || jobs_.size() >= max_queue_) {
            return false;
        }
        jobs_.push_back(std::move(job));
    }
    changed_.notify_one();
    return true;
}

void worker_pool::run()
{
    while (true) {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
        if (stopping_) {
            return;
        }
        const auto job = std::move(jobs_.front());
        jobs_.pop_front();
        lock.unlock();
        try {
            job();
        }
        catch (const std::exception& e) {
            log_event("peer_call_failed").add("detail", e.what()).info();
        }
    }
}

} // namespace trefoil
