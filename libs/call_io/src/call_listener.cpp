#include "call_io/call_listener.h"

#include "base/log_event.h"
#include "call_io/input_limit.h"
#include "call_io/peer_has_closed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <gsl/gsl>

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <exception>
#include <typeinfo>

namespace trefoil {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// State that a listener shares with its sessions, which may outlive it.
struct listener_state {
    call_handler handler;
    call_listener_limits limits;
    std::atomic<bool> closing = false;
    std::atomic<std::size_t> in_flight = 0;
    std::atomic<std::uint64_t> refused = 0;
};

namespace {

/// Limit for receiving a request, from its first byte to its last.
constexpr std::chrono::seconds read_timeout{10};
constexpr std::chrono::seconds write_timeout{10};

/// Maximum number of bytes of a rejected request that are read and discarded after its response.
/// Several times the maximum body size, since most oversized bodies exceed it by a small factor.
constexpr std::size_t max_discarded_bytes = 8 * call_headers::max_body_bytes;

call_response error_response(http::status status, std::string_view detail)
{
    call_response response(status, 11);
    response.body() = std::string(detail);
    set_header(response, call_headers::outcome, "not-run");
    set_header(response, call_headers::reason, "malformed");
    response.prepare_payload();
    response.keep_alive(false);
    return response;
}

http::status status_of(const boost::system::error_code& error)
{
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    return error == http::error::body_limit ? http::status::payload_too_large
                                            : http::status::bad_request;
}

/// An accepted connection. Handles its requests one after another.
class session : public std::enable_shared_from_this<session> {
public:
    session(tcp::socket socket, std::size_t shard, std::shared_ptr<listener_state> state)
        : stream_(std::move(socket)), shard_(shard), state_(std::move(state))
    {
    }

    asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        // Closes the connection also after an exception, so that the peer does not wait for a
        // response that will not come.
        const auto on_exit = gsl::finally([this] {
            boost::system::error_code ignored; // The connection may be closed already.
            stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
            stream_.socket().close(ignored);
        });
        stream_.socket().set_option(tcp::no_delay(true));
        bool keep_open = true;
        while (keep_open) {
            keep_open = co_await serve_one();
        }
    }

private:
    /// Reads a request and writes its response. Returns whether to keep the connection open.
    asio::awaitable<bool> serve_one()
    {
        boost::system::error_code error;
        http::request_parser<http::string_body> parser;
        parser.header_limit(state_->limits.max_header_bytes);
        parser.body_limit(state_->limits.max_body_bytes);
        if (buffer_.size() == 0) {
            stream_.expires_never();
            co_await stream_.socket().async_wait(tcp::socket::wait_read,
                                                 asio::redirect_error(asio::use_awaitable, error));
        }
        stream_.expires_after(read_timeout);
        co_await http::async_read(stream_, buffer_, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return co_await reject_bad_request(error);
        }
        if (peer_has_closed(stream_.socket())) {
            co_return false; // Nobody receives the answer.
        }
        ++state_->in_flight;
        const auto on_exit = gsl::finally([this] { --state_->in_flight; });
        auto request = parser.release();
        const bool keep_open = request.keep_alive() && !state_->closing;
        auto cancel = std::make_shared<cancel_token>();
        watch_for_close(cancel);
        auto response = co_await state_->handler(std::move(request), shard_, cancel);
        if (cancel->cancelled()) {
            co_return false;
        }
        stream_.socket().cancel(error);
        response.keep_alive(keep_open && response.keep_alive());
        co_return co_await write(response);
    }

    asio::awaitable<bool> reject_bad_request(boost::system::error_code error)
    {
        const bool is_parse_error =
            error.category() == make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message;
        if (is_parse_error) {
            ++state_->refused;
            auto response = error_response(status_of(error), error.message());
            co_await write(response);
            co_await discard_rest();
        }
        co_return false;
    }

    /// Closing a socket with unread bytes resets the connection, and a peer that is still writing
    /// would then lose the response. Reads and discards the rest of the request instead.
    asio::awaitable<void> discard_rest()
    {
        boost::system::error_code error;
        stream_.socket().shutdown(tcp::socket::shutdown_send, error);
        stream_.expires_after(read_timeout);
        std::array<char, 4096> bytes{};
        for (std::size_t discarded = 0; !error && discarded < max_discarded_bytes;) {
            discarded += co_await stream_.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    asio::awaitable<bool> write(call_response& response)
    {
        boost::system::error_code error;
        stream_.expires_after(write_timeout);
        co_await http::async_write(stream_, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error && response.keep_alive();
    }

    /// Cancels `cancel` if the peer closes the connection while its request is being handled.
    void watch_for_close(const std::shared_ptr<cancel_token>& cancel)
    {
        stream_.socket().async_wait(
            tcp::socket::wait_read, [self = shared_from_this(), cancel](auto error) {
                if (error) {
                    return;
                }
                char byte = 0;
                const auto handle = self->stream_.socket().native_handle();
                const auto count = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                    self->watch_for_close(cancel); // Spurious wake-up.
                }
                else if (count <= 0) {
                    cancel->cancel();
                }
            });
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_input_buffer_bytes};
    std::size_t shard_;
    std::shared_ptr<listener_state> state_;
};

/// Completion handler of the coroutines: logs an exception that escaped. It ends only the
/// connection it came from, not the process.
void log_failure(const std::exception_ptr& failure)
{
    if (!failure) {
        return;
    }
    try {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& e) {
        log_event("connection_failed")
            .add("error", typeid(e).name())
            .add("detail", e.what())
            .error();
    }
}

} // namespace

call_listener::call_listener(std::vector<asio::io_context*> shards, const tcp::endpoint& local,
                             call_handler handler, call_listener_limits limits)
    : shards_(std::move(shards)), acceptor_(*shards_.front()),
      state_(std::make_shared<listener_state>())
{
    state_->handler = std::move(handler);
    state_->limits = limits;
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen(1024);
}

void call_listener::start()
{
    asio::co_spawn(*shards_.front(), accept_loop(), log_failure);
}

std::size_t call_listener::in_flight() const
{
    return state_->in_flight;
}

std::uint64_t call_listener::refused() const
{
    return state_->refused;
}

void call_listener::close()
{
    state_->closing = true;
    asio::post(*shards_.front(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

asio::awaitable<void> call_listener::accept_loop()
{
    std::size_t next = 0;
    while (acceptor_.is_open()) {
        const auto shard = next++ % shards_.size();
        boost::system::error_code error;
        auto socket = co_await acceptor_.async_accept(
            *shards_[shard], asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // For example, no file descriptors are left. Retrying at once would be a busy loop.
            asio::steady_timer pause(acceptor_.get_executor(), std::chrono::milliseconds(10));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        auto connection = std::make_shared<session>(std::move(socket), shard, state_);
        // The lambda keeps the session alive: the coroutine starts on another thread, possibly
        // after the local reference was destroyed.
        asio::co_spawn(
            *shards_[shard], [connection] { return connection->run(); }, log_failure);
    }
}

} // namespace trefoil
