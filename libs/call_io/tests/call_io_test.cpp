#include "call_io/call_listener.h"
#include "call_io/connection_pool.h"
#include "call_io/io_threads.h"

#include "base/error.h"
#include "wire/call_headers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <thread>

using namespace std::chrono_literals;
using namespace trefoil;
namespace http = boost::beast::http;

struct handler_failure : error {
    handler_failure() : error("handler failed") {}
};

/// Client with a connection pool, on the loopback interface.
struct client_fixture {
    asio::io_context context;
    connection_pool pool{context, {}};
    const tcp::endpoint any_port{asio::ip::address_v4::loopback(), 0};

    static call_request make_request(std::string_view id, std::string body)
    {
        call_request request(http::verb::post, "/work", 11);
        set_header(request, call_headers::request_id, id);
        request.body() = std::move(body);
        request.prepare_payload();
        return request;
    }

    /// The default of `time_left` is long enough for a busy machine.
    asio::awaitable<exchange_result> exchange(tcp::endpoint peer, std::string id,
                                              std::chrono::milliseconds time_left = 1min)
    {
        cancel_token cancel;
        auto request = make_request(id, id);
        const exchange_options options{.deadline = std::chrono::steady_clock::now() + time_left};
        co_return co_await pool.exchange(peer, request, options, cancel);
    }

    exchange_result send(const tcp::endpoint& peer, const std::string& id,
                         std::chrono::milliseconds time_left = 1min)
    {
        auto result = asio::co_spawn(context, exchange(peer, id, time_left), asio::use_future);
        context.restart();
        context.run();
        return result.get();
    }
};

/// Beginnings of the parts of a chunked message that a parser takes only once they are complete.
const std::array<std::string, 4> endless_starts{"", "4;a=", "4\r\ndone\r\n0\r\nA: ", "0;a="};

/// Writes bytes until the peer closes the connection; gives up after far more than a peer may
/// buffer. Returns whether the peer closed.
asio::awaitable<bool> write_until_closed(tcp::socket& socket)
{
    const std::string block(std::size_t{64} * 1024, 'b');
    constexpr int max_blocks = 4096;
    boost::system::error_code error;
    for (int i = 0; i < max_blocks && !error; ++i) {
        co_await asio::async_write(socket, asio::buffer(block),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error.failed();
}

/// Client and a server that can violate the protocol on request.
struct pool_fixture : client_fixture {
    std::atomic<std::size_t> requests_received = 0;
    tcp::endpoint server;
    /// Last member, so that the thread is joined before the state it uses is destroyed.
    io_threads threads{1};

    pool_fixture()
    {
        tcp::acceptor acceptor(threads.context(0), any_port);
        server = acceptor.local_endpoint();
        asio::co_spawn(threads.context(0), accept_loop(std::move(acceptor)), asio::detached);
        threads.start();
    }

    static std::string endless_head(const std::string& id)
    {
        return "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrefoil-request-id: " + id +
               "\r\n\r\n";
    }

    asio::awaitable<void> accept_loop(tcp::acceptor acceptor)
    {
        for (;;) {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    /// The id of a request selects the server's response: "foreign" gets a response with another
    /// id, "silent" gets none, "cut/N" gets one without its last N bytes, followed by a close,
    /// "status/N" one with this status code, "endless/N" the N-th of `endless_starts` and then
    /// bytes without end. Other ids get a valid response. Ends with an exception when the client
    /// closes the connection.
    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        for (bool truncate = false; !truncate;) {
            call_request request;
            co_await http::async_read(socket, buffer, request, asio::use_awaitable);
            ++requests_received;
            const auto id = request.body();
            truncate = id.starts_with("cut/");
            if (id.starts_with("endless/")) {
                const auto text = endless_head(id) + endless_starts.at(std::stoul(id.substr(8)));
                co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
                co_await write_until_closed(socket);
                co_return;
            }
            const auto status = id.starts_with("status/") ? id.substr(7) : "200";
            auto response = "HTTP/1.1 " + status +
                            " OK\r\ncontent-length: 4\r\ntrefoil-request-id: " +
                            (id == "foreign" ? "earlier" : id) + "\r\n\r\ndone";
            const auto missing_bytes = truncate         ? std::stoul(id.substr(4))
                                       : id == "silent" ? 999
                                                        : 0;
            response.resize(response.size() - std::min(response.size(), missing_bytes));
            co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
        }
    }
};

// Guards against delivering a response to another request, for example a late one, to the caller.
TEST_CASE_METHOD(pool_fixture, "pool_response_with_another_request_id_is_not_delivered")
{
    REQUIRE(send(server, "earlier").status == exchange_status::answered);
    REQUIRE(send(server, "foreign").status == exchange_status::lost);
    REQUIRE(pool.counters().mismatched == 1);
    // Requests and responses no longer match on this connection, so it must not be reused.
    REQUIRE(send(server, "later").status == exchange_status::answered);
    REQUIRE(pool.counters().opened == 2);
}

// Guards against a request that was never sent and is reported as possibly executed.
TEST_CASE_METHOD(pool_fixture, "pool_rejected_connect_has_status_refused")
{
    // Bound but not listening, so that no other process can accept connections on this port.
    const tcp::socket bound(context, any_port);
    REQUIRE(send(bound.local_endpoint(), "a").status == exchange_status::refused);
}

// Guards against a client that resends a request after the peer closed a new or a reused
// connection: the request could then be executed twice.
TEST_CASE_METHOD(pool_fixture, "pool_close_after_the_request_was_written_is_lost_and_not_resent")
{
    const std::size_t earlier = GENERATE(0, 1);
    if (earlier == 1) {
        REQUIRE(send(server, "earlier").status == exchange_status::answered);
    }
    REQUIRE(send(server, "cut/999").status == exchange_status::lost);
    REQUIRE(pool.counters().reused == earlier);
    REQUIRE(requests_received == earlier + 1);
}

// Guards against further requests on a connection that no longer responds.
TEST_CASE_METHOD(pool_fixture, "pool_request_to_silent_server_times_out_and_connection_is_replaced")
{
    REQUIRE(send(server, "earlier").status == exchange_status::answered);
    const auto result = send(server, "silent", 200ms);
    REQUIRE(result.status == exchange_status::lost);
    REQUIRE(result.timed_out);
    REQUIRE(pool.counters().opened == 1);
    REQUIRE(send(server, "later").status == exchange_status::answered);
    REQUIRE(pool.counters().opened == 2);
}

// Guards against buffering a chunk header or a trailer without end until the deadline.
TEST_CASE_METHOD(pool_fixture, "pool_endless_response_is_lost_before_its_deadline")
{
    const auto id = "endless/" + std::to_string(GENERATE(range(0, 4)));
    CAPTURE(id);
    const auto result = send(server, id);
    CHECK(result.status == exchange_status::lost);
    CHECK_FALSE(result.timed_out);
    CHECK_FALSE(result.peer_closed);
    CHECK(send(server, "later").status == exchange_status::answered);
}

// Guards against delivering a response whose status code is none.
TEST_CASE_METHOD(pool_fixture, "pool_response_without_a_final_status_is_not_delivered")
{
    const auto* const status = GENERATE("000", "099", "600", "999");
    CHECK(send(server, std::string("status/") + status).status == exchange_status::lost);
    CHECK(pool.counters().invalid == 1);
    CHECK(send(server, "later").status == exchange_status::answered);
}

// Guards against a truncated response that is delivered as complete.
TEST_CASE_METHOD(pool_fixture, "pool_truncated_response_has_status_lost")
{
    const auto id = "cut/" + std::to_string(GENERATE(range(1, 70)));
    CAPTURE(id);
    const auto result = send(server, id);
    REQUIRE(result.status == exchange_status::lost);
    REQUIRE_FALSE(result.timed_out);
}

/// Client and a listener with two shards.
struct listener_fixture : client_fixture {
    /// Larger than the socket buffers of a loopback connection.
    const std::string large_body = std::string(std::size_t{12} << 20U, 'x');
    std::array<std::atomic<std::size_t>, 2> handled{};
    std::atomic<bool> cancelled = false;
    io_threads threads{2};
    call_listener listener{threads.contexts(), any_port,
                           [this](auto request, auto shard, auto cancel) {
                               return handle(std::move(request), shard, std::move(cancel));
                           }};
    const tcp::endpoint server{any_port.address(), listener.port()};
    tcp::socket client{context};

    listener_fixture()
    {
        listener.start();
        threads.start();
        client.connect(server);
    }
    ~listener_fixture() { threads.stop(); }

    /// Responds with the request's id and body. The body selects exceptions: "wait" waits for the
    /// cancellation, "large" gets a large body, "fail" throws. The delays differ, so that responses
    /// to concurrent requests overtake each other.
    asio::awaitable<call_response> handle(call_request request, std::size_t shard,
                                          std::shared_ptr<cancel_token> cancel)
    {
        const auto delay = 300us * (++handled.at(shard) % 5);
        handled.at(shard).notify_all();
        asio::steady_timer timer(co_await asio::this_coro::executor,
                                 request.body() == "wait" ? 1h : delay);
        cancel->on_cancel([&timer] { timer.cancel(); });
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        cancel->on_cancel(nullptr);
        cancelled = cancel->cancelled();
        cancelled.notify_all();
        call_response response(http::status::ok, 11);
        set_header(response, call_headers::request_id, *header(request, call_headers::request_id));
        if (request.body() == "fail") {
            throw handler_failure();
        }
        response.body() = request.body() == "large" ? large_body : request.body();
        response.prepare_payload();
        co_return response;
    }
};

// Guards against a handler that continues to work for a caller that has disconnected.
TEST_CASE_METHOD(listener_fixture, "listener_closed_connection_cancels_the_handlers_token")
{
    http::write(client, make_request("a", "wait"));
    handled[0].wait(0);
    client.close();
    // Without the cancellation, this blocks until the test runner's timeout.
    cancelled.wait(false);
    REQUIRE(cancelled);
}

// Guards against work for callers that closed or reset their connections before their requests were
// read, while the process was paused.
TEST_CASE_METHOD(client_fixture, "listener_request_of_a_departed_caller_is_not_handled")
{
    const bool resets = GENERATE(false, true);
    std::atomic<int> handled = 0;
    io_threads threads{1};
    call_listener listener{threads.contexts(), any_port,
                           [&handled](auto request, auto, auto) -> asio::awaitable<call_response> {
                               ++handled;
                               call_response response(http::status::ok, 11);
                               set_header(response, call_headers::request_id,
                                          *header(request, call_headers::request_id));
                               response.prepare_payload();
                               co_return response;
                           }};
    listener.start();
    const tcp::endpoint server{any_port.address(), listener.port()};
    for (int i = 0; i < 30; ++i) {
        tcp::socket caller(context);
        caller.connect(server);
        http::write(caller, make_request("departed", "a"));
        caller.set_option(asio::socket_base::linger(resets, 0));
    }
    threads.start();
    CHECK(send(server, "later").status == exchange_status::answered);
    threads.stop();
    CHECK(handled == 1);
}

// A planned stop waits until no request is in flight. Guards against a process that exits while a
// response is still being written.
TEST_CASE_METHOD(listener_fixture, "listener_request_is_in_flight_until_its_answer_is_written")
{
    http::write(client, make_request("a", "large"));
    char first = 0;
    asio::read(client, asio::buffer(&first, 1));
    REQUIRE(listener.in_flight() == 1);
    std::string rest;
    http::write(client, make_request("b", "wait"));
    asio::read(client, asio::dynamic_buffer(rest), asio::transfer_at_least(large_body.size()));
    // The second request is read only after the first response was written.
    while (handled[0] + handled[1] < 2) {
        std::this_thread::yield();
    }
    REQUIRE(listener.in_flight() == 1);
    client.close();
    while (listener.in_flight() > 0) {
        std::this_thread::yield();
    }
}

// Guards against an exception in one request that terminates the process or the listener.
TEST_CASE_METHOD(listener_fixture, "listener_failing_handler_ends_its_connection_only")
{
    REQUIRE(send(server, "fail").status == exchange_status::lost);
    REQUIRE(send(server, "later").status == exchange_status::answered);
    // The client may receive the response before the listener decrements its count. A request that
    // stays in flight ends in the test runner's timeout.
    while (listener.in_flight() > 0) {
        std::this_thread::yield();
    }
}

// Guards against oversized requests that reach the handler, and against a connection that is reset
// while the client is still writing, so that it cannot read the response.
TEST_CASE_METHOD(listener_fixture, "listener_oversized_request_gets_4xx_without_a_handler")
{
    constexpr auto limit = call_headers::max_body_bytes;
    const std::size_t body_bytes = GENERATE(0, limit + 1, 4 * limit);
    auto request = make_request("a", std::string(body_bytes, 'x'));
    const auto status = body_bytes > 0 ? http::status::payload_too_large
                                       : http::status::request_header_fields_too_large;
    set_header(request, "padding",
               std::string(body_bytes > 0 ? 0 : call_headers::max_header_bytes, 'x'));
    http::write(client, request);
    boost::beast::flat_buffer buffer;
    call_response response;
    http::read(client, buffer, response);
    REQUIRE(response.result() == status);
    REQUIRE(header(response, call_headers::outcome) == "not-run");
    REQUIRE(handled[0] + handled[1] == 0);
}

// Guards against buffering a chunk header or a trailer without end.
TEST_CASE_METHOD(listener_fixture, "listener_endless_request_gets_4xx_without_a_handler")
{
    const auto start = GENERATE(from_range(endless_starts));
    CAPTURE(start);
    const auto text = "POST /work HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n" + start;
    asio::write(client, asio::buffer(text));
    auto is_closed = asio::co_spawn(context, write_until_closed(client), asio::use_future);
    context.restart();
    context.run();
    CHECK(is_closed.get());
    CHECK(handled[0] + handled[1] == 0);
    CHECK(send(server, "later").status == exchange_status::answered);
}

// Guards against responses that are mixed up between concurrent connections or shards.
TEST_CASE_METHOD(listener_fixture, "listener_responses_over_two_shards_match_their_requests")
{
    std::size_t matching_responses = 0;
    const auto run_caller = [&](std::size_t caller) -> asio::awaitable<void> {
        for (std::size_t i = 0; i < 50; ++i) {
            const auto id = std::to_string(caller) + "/" + std::to_string(i);
            const auto result = co_await exchange(server, id);
            matching_responses += result.response.body() == id ? 1 : 0;
        }
    };
    for (std::size_t caller = 0; caller < 8; ++caller) {
        asio::co_spawn(context, run_caller(caller), asio::detached);
    }
    context.run();
    REQUIRE(matching_responses == 400);
    REQUIRE(handled[0] > 0);
    REQUIRE(handled[1] > 0);
}
