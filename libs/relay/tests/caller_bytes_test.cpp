#include "node_codec.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>

#include <array>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// A node with a small memory limit in front of a target, and callers that send more than the
/// limit.
struct caller_bytes_fixture : relay_fixture {
    static constexpr std::size_t memory = std::size_t{16} << 20U;

    std::string body = "done";
    vm* front = nullptr;
    vm* back = nullptr;

    explicit caller_bytes_fixture(std::size_t bytes = memory)
    {
        memory_bytes = bytes;
        // Longer than a slow machine needs.
        grace = 10min;
        front = &add_vm("front", "front", [](const auto&) { return reply{}; });
        back = &add_vm("back", "orders", [this](const auto& r) {
            return reply{stand_in_target::answer(r, body), end::keep};
        });
        publish(config_for("orders", false), {{back, "back"}});
    }

    /// Reads everything that the node sends until it closes the connection.
    std::string read_all(tcp::socket& socket, boost::system::error_code& error)
    {
        std::string bytes;
        bool is_ended = false;
        asio::async_read(socket, asio::dynamic_buffer(bytes), [&](auto failure, std::size_t) {
            error = failure;
            is_ended = true;
        });
        run_until([&] { return is_ended; });
        return bytes;
    }

    static std::size_t count(const std::string& text, const std::string& part)
    {
        std::size_t found = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
            ++found;
        }
        return found;
    }
};

/// A node with the default memory limit, and an answer larger than the buffers of a loopback
/// connection.
struct draining_fixture : caller_bytes_fixture {
    draining_fixture() : caller_bytes_fixture(relay_settings().memory_bytes)
    {
        body = std::string(std::size_t{12} << 20U, 'x');
    }
};

/// A node with a small memory limit whose target never answers, and a node with the default limit
/// for the callers.
struct busy_target_fixture : relay_fixture {
    static constexpr std::size_t memory = caller_bytes_fixture::memory;

    vm* front = nullptr;
    vm* back = nullptr;

    busy_target_fixture()
    {
        front = &add_vm("front", "front", [](const auto&) { return reply{}; });
        memory_bytes = memory;
        back = &add_vm("back", "orders", [](const auto&) { return reply{"", end::silent}; });
        publish(config_for("orders", false), {{back, "back"}});
    }
};

} // namespace

// Guards against a stack overflow when one caller pipelines many requests, each of which is
// rejected synchronously.
TEST_CASE_METHOD(caller_bytes_fixture, "caller_bytes_thousands_of_pipelined_requests_are_answered")
{
    constexpr int refused = 3000;
    std::string text = request_text("id-0");
    for (int i = 0; i < refused; ++i) {
        text += "GET / HTTP/1.1\r\n\r\n";
    }
    text += "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    auto caller = connect(front->settings.outbound);
    asio::write(caller, asio::buffer(text));
    boost::system::error_code error;
    const auto got = read_all(caller, error);
    CHECK(error == asio::error::eof);
    CHECK(count(got, "HTTP/1.1 ") == refused + 2);
}

// Guards against losing the answer to a connection reset: the kernel resets a connection that is
// closed with unread input.
TEST_CASE_METHOD(caller_bytes_fixture, "caller_bytes_refusal_of_a_large_body_reaches_its_sender")
{
    const std::string body(std::size_t{6} << 20U, 'x');
    const auto text =
        request_text("id-1", "Content-Length: " + std::to_string(body.size()) + "\r\n",
                     "POST /work/1 HTTP/1.1") +
        body;
    auto caller = connect(front->settings.outbound);
    boost::system::error_code write_error;
    bool is_written = false;
    asio::async_write(caller, asio::buffer(text), [&](auto error, std::size_t) {
        write_error = error;
        is_written = true;
    });
    run_until([&] { return is_written; });
    CHECK_FALSE(write_error);
    boost::system::error_code error;
    const auto got = read_all(caller, error);
    CHECK(error == asio::error::eof);
    CHECK(got.starts_with("HTTP/1.1 413"));
}

// Guards against truncating the answer to a request that was accepted during a planned stop,
// because its reader is slow.
TEST_CASE_METHOD(draining_fixture, "caller_bytes_answer_of_a_draining_node_is_finished")
{
    bool ended = false;
    front->node->drain([&] { ended = true; });
    auto caller = connect(front->settings.outbound);
    asio::write(caller, asio::buffer(request_text("id-1")));
    context.run_for(3s);
    context.restart();
    CHECK_FALSE(ended);
    boost::system::error_code error;
    CHECK(read_all(caller, error).size() > body.size());
    CHECK(error == asio::error::eof);
    run_until([&] { return ended; });
}

// Guards against truncating an answer because its reader pauses for longer than a retransmission
// takes.
TEST_CASE_METHOD(draining_fixture, "caller_bytes_reader_that_pauses_gets_the_complete_answer")
{
    auto caller = connect(front->settings.outbound);
    asio::write(caller, asio::buffer(request_text("id-1", "Connection: close\r\n")));
    context.run_for(8s);
    context.restart();
    boost::system::error_code error;
    CHECK(read_all(caller, error).size() > body.size());
    CHECK(error == asio::error::eof);
}

// Guards against many callers that together exceed the memory limit while each stays within its own
// limit. Requests rejected for this reason have not run and may be sent again.
TEST_CASE_METHOD(caller_bytes_fixture, "caller_bytes_unfinished_bodies_are_bounded_together")
{
    constexpr std::size_t one = 1000U << 10U;
    constexpr std::size_t senders = 24;
    const auto text = request_text("id-1", "Content-Length: " + std::to_string(one + 1) + "\r\n",
                                   "POST /work/1 HTTP/1.1") +
                      std::string(one, 'x');
    std::vector<tcp::socket> callers;
    for (std::size_t i = 0; i < senders; ++i) {
        callers.push_back(connect(front->settings.outbound));
        bool is_written = false;
        asio::async_write(callers.back(), asio::buffer(text),
                          [&](auto, std::size_t) { is_written = true; });
        run_until([&] { return is_written; });
    }
    context.run_for(100ms);
    context.restart();
    std::size_t refused = 0;
    for (auto& caller : callers) {
        if (caller.available() > 0) {
            ++refused;
            const auto got = read_answer(caller);
            CHECK(got.result_int() == 503);
            CHECK(got.find("Retry-After") != got.end());
        }
    }
    CHECK((senders - refused) * one <= memory / 8);
    CHECK(refused < senders);
    CHECK(relay_fixture::ask(front->settings.outbound, request_text("id-2")).body() == "done");
}

// Guards against exhausting a node's memory with queued request bodies that many nodes send to one
// target.
TEST_CASE_METHOD(busy_target_fixture, "caller_bytes_bodies_for_a_busy_target_are_bounded_together")
{
    constexpr std::size_t one = 1000U << 10U;
    constexpr std::size_t senders = 8;
    std::vector<tcp::socket> callers;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < senders; ++i) {
        callers.push_back(connect(front->settings.outbound));
        const auto text = request_text("id-" + std::to_string(i),
                                       "Content-Length: " + std::to_string(one) + "\r\n",
                                       "POST /work/1 HTTP/1.1") +
                          std::string(one, 'x');
        bool is_written = false;
        asio::async_write(callers.back(), asio::buffer(text),
                          [&](auto, std::size_t) { is_written = true; });
        run_until([&] { return is_written; });
        run_until([&] {
            return callers.back().available() > 0 || back->target->requests().size() + refused > i;
        });
        if (callers.back().available() > 0) {
            ++refused;
            const auto got = read_answer(callers.back());
            CHECK(got.result_int() == 503);
            CHECK(got.find("Retry-After") != got.end());
        }
    }
    CHECK(back->target->requests().size() == memory / 8 / one);
    CHECK(refused == senders - memory / 8 / one);
}

// Guards against peers, or other clients of the port for nodes, that send incomplete messages.
TEST_CASE_METHOD(caller_bytes_fixture, "caller_bytes_unfinished_messages_of_nodes_are_bounded")
{
    constexpr std::uint32_t one = 1000U << 10U;
    constexpr std::size_t senders = 12;
    const auto hello = encode_message(node_message_kind::hello, hello_message{"vm-x", "orders", 0});
    std::string unfinished;
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        unfinished += static_cast<char>((one + 1) >> shift);
    }
    unfinished += static_cast<char>(node_message_kind::call);
    unfinished += std::string(one, 'x');
    std::vector<tcp::socket> peers;
    std::size_t closed = 0;
    for (std::size_t i = 0; i < senders; ++i) {
        peers.push_back(connect(back->settings.inbound));
        asio::write(peers.back(), asio::buffer(hello));
        bool is_written = false;
        asio::async_write(peers.back(), asio::buffer(unfinished),
                          [&](auto, std::size_t) { is_written = true; });
        run_until([&] { return is_written; });
    }
    context.run_for(100ms);
    context.restart();
    for (auto& peer : peers) {
        peer.non_blocking(true);
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        while (!error) {
            peer.read_some(asio::buffer(bytes), error);
        }
        closed += error == asio::error::would_block ? 0U : 1U;
    }
    CHECK((senders - closed) * one <= memory / 8);
    CHECK(closed < senders);
    CHECK(relay_fixture::ask(front->settings.outbound, request_text("id-2")).body() == "done");
}
