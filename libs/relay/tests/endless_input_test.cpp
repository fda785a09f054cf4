#include "endless_bytes.h"
#include "memory_peak.h"
#include "node_codec.h"
#include "relay_fixture.h"

#include "relay/http_get_client.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

constexpr std::size_t smallest_memory = std::size_t{160} << 20U;

/// A node with the memory of the smallest machines. Peers send it bytes without end on many
/// connections at once.
struct endless_input_fixture : relay_fixture {
    static constexpr int connection_count = 16;

    vm& front;
    vm& back;
    std::vector<std::shared_ptr<tcp::socket>> peers;
    /// Connections that the node closed.
    int closed = 0;

    endless_input_fixture()
        : relay_fixture(smallest_memory),
          front(add_vm("front", "front", [](const auto&) { return reply{}; })),
          back(add_vm("back", "orders", [](const auto& r) {
              return reply{stand_in_target::answer(r, "done"), end::keep};
          }))
    {
        auto config = config_for("orders", false);
        config.limits.max_body_bytes = std::size_t{64} << 20U;
        publish(config, {{&back, "back"}});
    }

    void send_endlessly(const tcp::endpoint& node, const std::string& start,
                        const std::string& block)
    {
        for (int i = 0; i < connection_count; ++i) {
            auto peer = std::make_shared<tcp::socket>(connect(node));
            asio::write(*peer, asio::buffer(start));
            asio::co_spawn(
                context,
                [this, peer, block]() -> asio::awaitable<void> {
                    co_await write_endlessly(*peer, block);
                    ++closed;
                },
                asio::detached);
            peers.push_back(std::move(peer));
        }
    }

    bool serves_next()
    {
        return ask(front.settings.outbound, request_text("next")).body() == "done";
    }
};

/// Fetches pages from a server that sends bytes without end.
struct endless_page_fixture {
    asio::io_context context{1};
    tcp::acceptor acceptor{context, {asio::ip::make_address_v4("127.0.0.1"), 0}};
    std::optional<http_get_result> result;

    void serve(std::string start, std::string block)
    {
        asio::co_spawn(
            context,
            [this, start = std::move(start), block = std::move(block)]() -> asio::awaitable<void> {
                auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(start), asio::use_awaitable);
                co_await write_endlessly(socket, block);
            },
            asio::detached);
    }

    void get(std::chrono::milliseconds timeout)
    {
        const auto client = std::make_shared<http_get_client>(context, acceptor.local_endpoint());
        client->get("/", timeout, [this](auto r) { result = std::move(r); });
        while (!result) {
            context.run_one();
        }
    }
};

} // namespace

// Guards against a node that exceeds its memory since callers send bytes without end where a
// request has no limit of its own.
TEST_CASE_METHOD(endless_input_fixture, "endless_input_of_callers_is_refused_in_memory")
{
    const std::string head =
        request_text("id", "Transfer-Encoding: chunked\r\n", "POST /work/1 HTTP/1.1");
    const auto [name, start, block] = GENERATE_COPY(table<std::string, std::string, std::string>(
        {{"chunk size", head, "x"},
         {"digits of a chunk size", head, "0"},
         {"chunk extension", head + "4;a=", "b"},
         {"one trailer line", head + "4\r\ndone\r\n0\r\nA: ", "b"},
         {"trailer lines", head + "0\r\n", "A: b\r\n"},
         {"header lines", "GET / HTTP/1.1\r\n", "A: b\r\n"},
         {"request line", "GET /", "x"},
         {"bytes before a request", "", "x"}}));
    INFO(name);
    const memory_peak peak;
    send_endlessly(back.settings.outbound, start, block);
    run_until([&] { return closed == connection_count || peak.bytes() > smallest_memory; });
    CHECK(closed == connection_count);
    CHECK(peak.bytes() < smallest_memory);
    CHECK(serves_next());
}

// Guards against the same for bytes behind a request that is being answered.
TEST_CASE_METHOD(endless_input_fixture, "endless_input_behind_a_request_is_not_buffered")
{
    back.target->set_respond([](const auto&) { return reply{"", end::silent}; });
    const memory_peak peak;
    send_endlessly(back.settings.outbound, request_text("id"), "x");
    context.run_for(2s);
    context.restart();
    CHECK(peak.bytes() < smallest_memory);
}

// Guards against the same for messages of other nodes.
TEST_CASE_METHOD(endless_input_fixture, "endless_input_of_nodes_ends_their_connections_in_memory")
{
    const std::string hello =
        encode_message(node_message_kind::hello, hello_message{"vm-x", "orders"});
    const std::string largest{"\x06\x00\x00\x00", 4}; // 96 MiB
    const auto [name, start] = GENERATE_COPY(
        table<std::string, std::string>({{"no message", "xxxxxxxx"},
                                         {"call", hello + largest + '\x02'},
                                         {"published state", hello + largest + '\x09'},
                                         {"unknown kind", hello + largest + '\x7f'}}));
    INFO(name);
    const memory_peak peak;
    send_endlessly(back.settings.inbound, start, std::string(1000, '\xa1'));
    run_until([&] { return closed == connection_count || peak.bytes() > smallest_memory; });
    CHECK(closed == connection_count);
    CHECK(peak.bytes() < smallest_memory);
    CHECK(serves_next());
}

// Guards against a page of the store or of the target's status check that uses up the memory.
TEST_CASE_METHOD(endless_page_fixture, "endless_page_fails_before_its_timeout_in_memory")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto [name, start, block] = GENERATE_COPY(table<std::string, std::string, std::string>(
        {{"chunk size", chunked, "x"},
         {"chunk extension", chunked + "4;a=", "b"},
         {"one trailer line", chunked + "4\r\ndone\r\n0\r\nA: ", "b"},
         {"trailer lines", chunked + "0\r\n", "A: b\r\n"},
         {"header lines", ok, "A: b\r\n"},
         {"status line", "HTTP/1.1 200 ", "x"},
         {"body up to the end", ok + "\r\n", "x"},
         {"body in chunks", chunked, "4\r\ndone\r\n"},
         {"body of a length beyond the limit", ok + "Content-Length: 99999999999\r\n\r\n", "x"}}));
    INFO(name);
    const memory_peak peak;
    serve(start, block);
    get(5s);
    CHECK(result->status == 0);
    CHECK(result->detail.find("timeout") == std::string::npos);
    CHECK(peak.bytes() < smallest_memory);
}
