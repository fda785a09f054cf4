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

struct pool_options {
    /// Idle connections kept to one endpoint.
    std::size_t max_idle = 64;
    /// A connection without progress for this long is replaced rather than reused, since something
    /// between the two ends may have lost track of it.
    std::chrono::milliseconds max_idle_time{5000};
    std::chrono::milliseconds connect_timeout{1000};
    /// New connections per second to one endpoint, and how many may be opened at once. Bounds the
    /// storm when many connections go silent together.
    double connect_rate = 50.0;
    double connect_burst = 64.0;
};

/// How one request may use the pool.
struct exchange_options {
    std::chrono::steady_clock::time_point deadline;
    /// Opens a new connection even if an idle one exists.
    bool fresh_connection = false;
};

/// Counters for status pages and tests.
struct pool_counters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t silent = 0;
    std::uint64_t throttled = 0;
    std::uint64_t mismatched = 0;
};

/// Kept connections to other processes. Belongs to one thread and its io_context.
///
/// A request is written at most once: nothing is resent after its first byte was written.
class connection_pool {
public:
    connection_pool(asio::io_context& context, pool_options options);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Sends the request and waits for its answer, whose `trefoil-request-id` must equal the
    /// request's. Does not throw for network failures.
    asio::awaitable<exchange_result> exchange(tcp::endpoint peer, call_request& request,
                                              exchange_options options, cancel_token& cancel);

    const pool_counters& counters() const noexcept { return counters_; }

private:
    struct connection;
    struct peer_state;

    peer_state& state_of(const tcp::endpoint& peer);
    std::shared_ptr<connection> take_idle(peer_state& state);
    bool take_connect_token(peer_state& state);
    void note_silent(peer_state& state, std::chrono::steady_clock::time_point written);
    asio::awaitable<std::shared_ptr<connection>> connect(tcp::endpoint peer, peer_state& state,
                                                         exchange_options options,
                                                         exchange_result& result);
    asio::awaitable<void> run(std::shared_ptr<connection> conn, call_request& request,
                              exchange_options options, exchange_result& result);

    asio::io_context& context_;
    pool_options options_;
    pool_counters counters_;
    std::map<tcp::endpoint, std::unique_ptr<peer_state>> peers_;
};

} // namespace trefoil
