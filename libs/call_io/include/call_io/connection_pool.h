#pragma once

#include "call_io/asio.h"
#include "call_io/cancel_token.h"
#include "call_io/exchange_result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace trefoil {

/// Limits of a connection_pool.
struct pool_options {
    /// Maximum number of idle connections per endpoint.
    std::size_t max_idle = 64;
    /// A connection that was idle for longer is replaced instead of reused, since a device between
    /// the two ends may have dropped its connection state.
    std::chrono::milliseconds max_idle_time{5000};
    std::chrono::milliseconds connect_timeout{1000};
    /// Token bucket for new connections per endpoint: rate per second and burst size. Bounds the
    /// burst of reconnects when many connections stop responding at the same time.
    double connect_rate = 50.0;
    double connect_burst = 64.0;
};

/// Options for one request.
struct exchange_options {
    /// Limit for connecting, sending the request and receiving the response.
    std::chrono::steady_clock::time_point deadline;
    /// Opens a new connection even if an idle one is available.
    bool fresh_connection = false;
};

/// Counters for status pages and tests.
struct pool_counters {
    /// Attempts to open a connection.
    std::uint64_t opened = 0;
    /// Idle connections that were reused.
    std::uint64_t reused = 0;
    /// Reused connections on which a request timed out.
    std::uint64_t silent = 0;
    /// Requests that failed because the rate limit for new connections was reached.
    std::uint64_t throttled = 0;
    /// Responses with the id of another request.
    std::uint64_t mismatched = 0;
    /// Responses with a status code that is not that of a final response.
    std::uint64_t invalid = 0;
};

/// Pool of persistent HTTP/1.1 connections to other processes. Not thread-safe: must be used only
/// on the thread that runs its io_context.
///
/// A request is sent at most once: the pool never resends it after its first byte was written.
class connection_pool {
public:
    connection_pool(asio::io_context& context, pool_options options);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Sends the request and waits for its response. A response whose `trefoil-request-id` differs
    /// from the request's gives the status `lost`. Network failures are reported in the result, not
    /// thrown.
    asio::awaitable<exchange_result> exchange(tcp::endpoint peer, call_request& request,
                                              exchange_options options, cancel_token& cancel);

    const pool_counters& counters() const noexcept { return counters_; }

private:
    struct connection;
    struct peer_state;

    peer_state& state_of(const tcp::endpoint& peer);
    std::shared_ptr<connection> take_idle(peer_state& state);
    bool take_connect_token(peer_state& state);
    void record_silent(peer_state& state, std::chrono::steady_clock::time_point written);
    asio::awaitable<std::shared_ptr<connection>> connect(tcp::endpoint peer, peer_state& state,
                                                         exchange_options options,
                                                         exchange_result& result);
    asio::awaitable<void> send_and_receive(std::shared_ptr<connection> conn, call_request& request,
                                           exchange_options options, exchange_result& result);

    asio::io_context& context_;
    pool_options options_;
    pool_counters counters_;
    std::map<tcp::endpoint, std::unique_ptr<peer_state>> peers_;
};

} // namespace trefoil
