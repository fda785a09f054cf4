#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace trefoil {

/// Thread pool for calls to peers, which block until they are answered or time out.
class worker_pool {
public:
    /// Jobs beyond `max_queue` waiting ones are dropped, since each job is repeated later anyway.
    worker_pool(std::size_t threads, std::size_t max_queue);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Queues a job. Returns false if the job was dropped.
    bool post(std::function<void()> job);

private:
    void run();

    std::size_t max_queue_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> jobs_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace trefoil
