#include "slot_queue.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = trefoil::asio;

slot_queue::slot_queue(asio::io_context& context, std::uint32_t slots)
    : context_(context), slots_(slots)
{
}

asio::awaitable<void> slot_queue::acquire()
{
    if (in_use_ < slots_) {
        ++in_use_;
        co_return;
    }
    auto granted = std::make_shared<asio::steady_timer>(context_);
    granted->expires_at(asio::steady_timer::time_point::max());
    waiting_.push_back(granted);
    boost::system::error_code error;
    co_await granted->async_wait(asio::redirect_error(asio::use_awaitable, error));
}

void slot_queue::release()
{
    if (waiting_.empty()) {
        --in_use_;
        return;
    }
    // The slot passes to the first in the queue without being free in between.
    waiting_.front()->cancel();
    waiting_.pop_front();
}
