#pragma once

#include "call_io/asio.h"
#include "call_io/cancel_token.h"
#include "call_io/message.h"

#include "wire/call_headers.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace trefoil {

/// Answers one request. The token is cancelled when the peer closes the connection; the answer is
/// then dropped. `shard` is the number of the io_context that runs the connection.
using call_handler = std::function<asio::awaitable<call_response>(
    call_request request, std::size_t shard, std::shared_ptr<cancel_token> cancel)>;

struct call_listener_limits {
    /// Longer headers are answered with status 431.
    std::size_t max_header_bytes = call_headers::max_header_bytes;
    /// Longer bodies are answered with status 413.
    std::size_t max_body_bytes = call_headers::max_body_bytes;
};

/// Accepts connections on one port and spreads them over several io_contexts, one thread each.
class call_listener {
public:
    /// Binds and listens at once. Throws boost::system::system_error if the port is not free.
    call_listener(std::vector<asio::io_context*> shards, const tcp::endpoint& local,
                  call_handler handler, call_listener_limits limits = {});

    /// Starts to accept. The listener must outlive the io_contexts' threads.
    void start();

    /// Requests that were read and whose answers are not written yet.
    std::size_t in_flight() const;

    /// Requests that were refused before they reached the handler.
    std::uint64_t refused() const;

    /// Stops accepting; open connections go on, but each closes after its current answer.
    void close();

    /// The bound port, also when port 0 was asked for.
    unsigned short port() const { return acceptor_.local_endpoint().port(); }

private:
    asio::awaitable<void> accept_loop();

    std::vector<asio::io_context*> shards_;
    tcp::acceptor acceptor_;
    std::shared_ptr<struct listener_state> state_;
};

} // namespace trefoil
