#include "acceptor.h"

#include "base/log_event.h"

#include <chrono>
#include <utility>

namespace trefoil {

namespace {

/// Max connections waiting to be accepted. If the queue is full, callers are delayed by a second.
constexpr int backlog = 2048;

/// Pause after a failed accept, mostly caused by a lack of file descriptors.
constexpr std::chrono::milliseconds failure_pause{20};

} // namespace

acceptor::acceptor(asio::io_context& context, const tcp::endpoint& local,
                   std::function<void(tcp::socket)> accepted)
    : acceptor_(context), pause_(context), accepted_(std::move(accepted))
{
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen(backlog);
}

void acceptor::accept()
{
    acceptor_.async_accept([this](auto error, tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (!error) {
            accept(); // First, so that a failure of the handler does not close the port.
            accepted_(std::move(socket));
            return;
        }
        log_event("accept_failed").add("detail", error.message()).warning();
        pause_.expires_after(failure_pause);
        pause_.async_wait([this](auto cancelled) {
            if (!cancelled) {
                accept();
            }
        });
    });
}

void acceptor::close()
{
    boost::system::error_code ignored; // A failed close cannot be handled.
    acceptor_.close(ignored);
}

} // namespace trefoil
