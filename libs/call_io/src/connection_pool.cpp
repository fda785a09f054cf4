#include "call_io/connection_pool.h"

#include "base/log_event.h"
#include "call_io/final_status.h"
#include "call_io/input_limit.h"
#include "wire/call_headers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace trefoil {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::steady_clock;

struct connection_pool::connection {
    explicit connection(asio::io_context& context) : stream(context) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_input_buffer_bytes};
    steady_clock::time_point last_progress;
    bool reused = false;
};

struct connection_pool::peer_state {
    std::vector<std::shared_ptr<connection>> idle;
    double connect_tokens = 0.0;
    steady_clock::time_point refilled;
};

namespace {

/// Time after which the kernel aborts a connection whose sent data is not acknowledged.
constexpr std::chrono::milliseconds tcp_user_timeout{2000};

void set_socket_options(tcp::socket& socket)
{
    socket.set_option(tcp::no_delay(true));
    socket.set_option(asio::socket_base::keep_alive(true));
    const auto timeout = static_cast<unsigned>(tcp_user_timeout.count());
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

/// True if an idle connection cannot be reused: the peer closed it or sent unsolicited bytes.
bool is_stale(tcp::socket& socket)
{
    char byte = 0;
    const auto count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// True for errors that mean that the peer closed or reset the connection.
bool is_peer_close(const boost::system::error_code& error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message ||
           error == asio::error::eof || error == asio::error::connection_reset ||
           error == asio::error::broken_pipe;
}

} // namespace

connection_pool::connection_pool(asio::io_context& context, pool_options options)
    : context_(context), options_(options)
{
}

connection_pool::~connection_pool() = default;

connection_pool::peer_state& connection_pool::state_of(const tcp::endpoint& peer)
{
    auto& state = peers_[peer];
    if (!state) {
        state = std::make_unique<peer_state>();
        state->connect_tokens = options_.connect_burst;
        state->refilled = steady_clock::now();
    }
    return *state;
}

std::shared_ptr<connection_pool::connection> connection_pool::take_idle(peer_state& state)
{
    const auto now = steady_clock::now();
    while (!state.idle.empty()) {
        auto conn = std::move(state.idle.back());
        state.idle.pop_back();
        if (now - conn->last_progress > options_.max_idle_time) {
            state.idle.clear(); // The others have been idle even longer.
            return nullptr;
        }
        if (!is_stale(conn->stream.socket())) {
            conn->reused = true;
            ++counters_.reused;
            return conn;
        }
    }
    return nullptr;
}

bool connection_pool::take_connect_token(peer_state& state)
{
    const auto now = steady_clock::now();
    const std::chrono::duration<double> elapsed = now - state.refilled;
    state.refilled = now;
    state.connect_tokens = std::min(options_.connect_burst,
                                    state.connect_tokens + elapsed.count() * options_.connect_rate);
    if (state.connect_tokens < 1.0) {
        ++counters_.throttled;
        return false;
    }
    state.connect_tokens -= 1.0;
    return true;
}

/// Besides counting, drops the idle connections that made no progress since the request was sent:
/// they may have stopped responding for the same reason.
void connection_pool::record_silent(peer_state& state, steady_clock::time_point written)
{
    ++counters_.silent;
    std::erase_if(state.idle, [&](const auto& c) { return c->last_progress < written; });
}

asio::awaitable<std::shared_ptr<connection_pool::connection>>
connection_pool::connect(tcp::endpoint peer, peer_state& state, exchange_options options,
                         exchange_result& result)
{
    if (!take_connect_token(state)) {
        co_return nullptr;
    }
    ++counters_.opened;
    auto conn = std::make_shared<connection>(context_);
    const auto limit = steady_clock::now() + options_.connect_timeout;
    conn->stream.expires_at(std::min(limit, options.deadline));
    boost::system::error_code error;
    co_await conn->stream.async_connect(peer, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        result.status = exchange_status::refused;
        result.timed_out = error == beast::error::timeout;
        co_return nullptr;
    }
    set_socket_options(conn->stream.socket());
    conn->last_progress = steady_clock::now();
    co_return conn;
}

asio::awaitable<void> connection_pool::send_and_receive(std::shared_ptr<connection> conn,
                                                        call_request& request,
                                                        exchange_options options,
                                                        exchange_result& result)
{
    boost::system::error_code error;
    conn->stream.expires_at(options.deadline);
    const auto written = co_await http::async_write(
        conn->stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        result.status = written == 0 ? exchange_status::not_sent : exchange_status::lost;
        result.timed_out = error == beast::error::timeout;
        result.peer_closed = is_peer_close(error);
        co_return;
    }
    result.status = exchange_status::lost;
    http::response_parser<http::string_body> parser;
    parser.header_limit(call_headers::max_header_bytes);
    parser.body_limit(call_headers::max_body_bytes);
    co_await http::async_read(conn->stream, conn->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    result.timed_out = error == beast::error::timeout;
    result.peer_closed = is_peer_close(error);
    if (error) {
        co_return;
    }
    result.response = parser.release();
    if (header(result.response, call_headers::request_id) !=
        header(request, call_headers::request_id)) {
        ++counters_.mismatched;
        co_return;
    }
    if (!is_final_status(result.response.result_int())) {
        ++counters_.invalid;
        log_event("response_invalid")
            .add("id", header(request, call_headers::request_id).value_or(""))
            .add("detail",
                 "status code out of range: " + std::to_string(result.response.result_int()))
            .warning();
        co_return;
    }
    result.status = exchange_status::answered;
}

asio::awaitable<exchange_result> connection_pool::exchange(tcp::endpoint peer,
                                                           call_request& request,
                                                           exchange_options options,
                                                           cancel_token& cancel)
{
    exchange_result result;
    auto& state = state_of(peer);
    auto conn = options.fresh_connection ? nullptr : take_idle(state);
    if (!conn) {
        conn = co_await connect(peer, state, options, result);
    }
    if (!conn || cancel.cancelled()) {
        co_return result;
    }
    const auto started = steady_clock::now();
    cancel.on_cancel([weak = std::weak_ptr(conn)] {
        if (const auto open = weak.lock()) {
            open->stream.close();
        }
    });
    co_await send_and_receive(conn, request, options, result);
    cancel.on_cancel(nullptr);
    if (result.status == exchange_status::answered) {
        conn->last_progress = steady_clock::now();
        const bool keep_open = result.response.keep_alive() && conn->buffer.size() == 0;
        if (keep_open && state.idle.size() < options_.max_idle) {
            conn->stream.expires_never();
            state.idle.push_back(std::move(conn));
        }
    }
    else if (result.timed_out && conn->reused) {
        record_silent(state, started);
    }
    co_return result;
}

} // namespace trefoil
