#pragma once

#include "call_io/asio.h"

#include <boost/asio/executor_work_guard.hpp>

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace trefoil {

/// Several io_contexts, each run by its own thread. State that only one context uses needs no lock.
class io_threads {
public:
    explicit io_threads(std::size_t count);

    /// Calls stop().
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    /// Starts one thread per context.
    void start();

    /// Stops the contexts and joins the threads.
    void stop();

    std::size_t size() const noexcept { return contexts_.size(); }
    asio::io_context& context(std::size_t shard) { return *contexts_[shard]; }
    std::vector<asio::io_context*> contexts() const;

private:
    using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

    std::vector<std::unique_ptr<asio::io_context>> contexts_;
    std::vector<work_guard> guards_;
    std::vector<std::thread> threads_;
};

} // namespace trefoil
