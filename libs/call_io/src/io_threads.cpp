#include "call_io/io_threads.h"

namespace trefoil {

io_threads::io_threads(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        contexts_.push_back(std::make_unique<asio::io_context>(1));
        guards_.emplace_back(contexts_.back()->get_executor());
    }
}

io_threads::~io_threads()
{
    stop();
}

void io_threads::start()
{
    for (auto& context : contexts_) {
        threads_.emplace_back([&context] { context->run(); });
    }
}

void io_threads::stop()
{
    for (auto& context : contexts_) {
        context->stop();
    }
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

std::vector<asio::io_context*> io_threads::contexts() const
{
    std::vector<asio::io_context*> pointers;
    pointers.reserve(contexts_.size());
    for (const auto& context : contexts_) {
        pointers.push_back(context.get());
    }
    return pointers;
}

} // namespace trefoil
