#pragma once

#include "endless_bytes.h"

#include "call_io/asio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace trefoil {

/// A target whose answers are given by the test as raw bytes.
class stand_in_target {
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    /// Response to a request: bytes to send, and what happens to the connection afterwards.
    struct reply {
        std::string bytes;
        enum class end : std::uint8_t { keep, close, reset, silent } then = end::keep;
        /// Sent after `bytes` again and again until the peer closes, unless empty.
        std::string endless{};
    };

    stand_in_target(asio::io_context& context, const tcp::endpoint& local,
                    std::function<reply(const request&)> respond)
        : acceptor_(context), local_(local), respond_(std::move(respond))
    {
        listen();
    }

    ~stand_in_target() { acceptor_.close(); }
    stand_in_target(const stand_in_target&) = delete;
    stand_in_target& operator=(const stand_in_target&) = delete;

    const std::vector<request>& requests() const noexcept { return requests_; }

    void set_respond(std::function<reply(const request&)> respond)
    {
        respond_ = std::move(respond);
    }

    /// Refuses new connections, like a process that has exited.
    void crash() { acceptor_.close(); }

    /// Accepts connections again; does nothing if it already does.
    void listen()
    {
        if (!acceptor_.is_open()) {
            acceptor_ = tcp::acceptor(acceptor_.get_executor(), local_);
            asio::co_spawn(acceptor_.get_executor(), accept(), asio::detached);
        }
    }

    /// Number of the connection on which the request being answered arrived.
    int connection() const noexcept { return connection_; }

    /// Number of connections that the peer closed.
    int closed() const noexcept { return closed_; }

    /// Builds a complete 200 answer to a request, with the proof header.
    static std::string answer(const request& r, const std::string& body,
                              const std::string& headers = {})
    {
        return "HTTP/1.1 200 OK\r\ntrefoil-request-id: " + std::string(r["trefoil-request-id"]) +
               "\r\ntrefoil-proof: p1\r\n" + headers +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            boost::system::error_code error;
            auto socket =
                co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        const auto number = ++last_connection_;
        for (;;) {
            boost::beast::http::request_parser<boost::beast::http::string_body> parser;
            parser.body_limit(std::uint64_t{1} << 27U);
            co_await boost::beast::http::async_read(
                socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                ++closed_;
                co_return;
            }
            requests_.push_back(parser.release());
            connection_ = number;
            const auto r = respond_(requests_.back());
            co_await asio::async_write(socket, asio::buffer(r.bytes),
                                       asio::redirect_error(asio::use_awaitable, error));
            if (!r.endless.empty()) {
                co_await write_endlessly(socket, r.endless);
                ++closed_;
                co_return;
            }
            if (r.then == reply::end::close) {
                socket.shutdown(tcp::socket::shutdown_both, error);
                co_return;
            }
            if (r.then == reply::end::reset) {
                socket.set_option(asio::socket_base::linger(true, 0), error);
                socket.close(error); // The destructor would not reset it.
                co_return;
            }
        }
    }

    tcp::acceptor acceptor_;
    tcp::endpoint local_;
    std::function<reply(const request&)> respond_;
    std::vector<request> requests_;
    int last_connection_ = 0;
    int connection_ = 0;
    int closed_ = 0;
};

} // namespace trefoil
