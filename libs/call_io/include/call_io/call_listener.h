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

/// Handles one request and returns its response. `cancel` is cancelled when the peer closes the
/// connection; the response is then discarded. `shard` is the index of the io_context that runs the
/// connection.
using call_handler = std::function<asio::awaitable<call_response>(
    call_request request, std::size_t shard, std::shared_ptr<cancel_token> cancel)>;

/// Maximum sizes of a request, in bytes.
struct call_listener_limits {
    /// Requests with larger headers are rejected with HTTP status 431.
    std::size_t max_header_bytes = call_headers::max_header_bytes;
    /// Requests with a larger body are rejected with HTTP status 413.
    std::size_t max_body_bytes = call_headers::max_body_bytes;
};

/// HTTP/1.1 server on one port. Assigns accepted connections round-robin to several io_contexts,
/// each of which must be run by one thread.
class call_listener {
public:
    /// Opens the port; connections wait until start(). Throws boost::system::system_error if the
    /// port cannot be bound.
    call_listener(std::vector<asio::io_context*> shards, const tcp::endpoint& local,
                  call_handler handler, call_listener_limits limits = {});

    /// Starts accepting connections. The listener must outlive the threads of the io_contexts.
    void start();

    /// Number of requests that were read and whose responses are not completely written yet.
    std::size_t in_flight() const;

    /// Number of requests that were rejected as malformed or too large, without calling the
    /// handler.
    std::uint64_t refused() const;

    /// Stops accepting connections. Open connections are closed after their current response.
    void close();

    /// The bound port; the one chosen by the system if port 0 was requested.
    unsigned short port() const { return acceptor_.local_endpoint().port(); }

private:
    asio::awaitable<void> accept_loop();

    std::vector<asio::io_context*> shards_;
    tcp::acceptor acceptor_;
    std::shared_ptr<struct listener_state> state_;
};

} // namespace trefoil
