#pragma once

#include "node_codec.h"

#include "call_io/asio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace trefoil {

/// A node that answers each request after a delay set by the test and sends nothing else, not even
/// pongs, like a process that is paused and later resumed.
class stand_in_node {
public:
    /// Returns the delay of the answer to the request with this number, counted from 0.
    using delay_of = std::function<std::chrono::milliseconds(std::size_t request)>;

    /// Changes the answer to the request with this number.
    using change_of = std::function<void(std::size_t request, answer_message&)>;

    stand_in_node(
        asio::io_context& context, const tcp::endpoint& local, delay_of delay,
        change_of change = [](std::size_t, answer_message&) {})
        : acceptor_(context, local), delay_(std::move(delay)), change_(std::move(change))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    ~stand_in_node() { acceptor_.close(); }
    stand_in_node(const stand_in_node&) = delete;
    stand_in_node& operator=(const stand_in_node&) = delete;

    std::size_t requests() const noexcept { return requests_; }
    std::size_t connections() const noexcept { return connections_; }

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
            ++connections_;
            asio::co_spawn(acceptor_.get_executor(),
                           serve(std::make_shared<tcp::socket>(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;) {
            boost::system::error_code error;
            const auto count = co_await socket->async_read_some(
                buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            buffer.commit(count);
            take_messages(
                buffer, [] { return max_message_size; },
                [&](const raw_node_message& message) {
                    if (message.kind == node_message_kind::call) {
                        const auto call = decode_fields<call_message>(message);
                        asio::co_spawn(acceptor_.get_executor(),
                                       answer(socket, call.stream, requests_++), asio::detached);
                    }
                });
        }
    }

    asio::awaitable<void> answer(std::shared_ptr<tcp::socket> socket, std::uint32_t stream,
                                 std::size_t number)
    {
        asio::steady_timer timer(socket->get_executor(), delay_(number));
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        answer_message message;
        message.stream = stream;
        message.status = 200;
        message.body = "done";
        change_(number, message);
        const auto bytes = encode_message(node_message_kind::answer, message);
        co_await asio::async_write(*socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
    }

    tcp::acceptor acceptor_;
    delay_of delay_;
    change_of change_;
    std::size_t requests_ = 0;
    std::size_t connections_ = 0;
};

} // namespace trefoil
