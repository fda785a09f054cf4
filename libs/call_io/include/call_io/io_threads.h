#pragma once

#include "call_io/asio.h"

#include <boost/asio/executor_work_guard.hpp>

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace trefoil {

/// A number of io_contexts with one thread each. State that belongs to one context needs no lock.
class io_threads {
public:
    explicit io_threads(std::size_t count);

    /// Stops the contexts and joins the threads.
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    void start();
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
