#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <random>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// Nodes with a small memory limit in front of a target that sends invalid answers.
struct hostile_bytes_fixture : relay_fixture {
    static constexpr std::size_t memory = std::size_t{4} << 20U;
    /// A sixteenth of the memory.
    static constexpr std::size_t largest_answer = memory / 16;

    std::function<reply(const stand_in_target::request&)> respond;
    vm* front = nullptr;
    vm* back = nullptr;

    hostile_bytes_fixture()
    {
        memory_bytes = memory;
        front = &add_vm("front", "front", [](const auto&) { return reply{}; });
        back = &add_vm("back", "orders", [this](const auto& r) { return respond(r); });
        publish(config_for("orders", false), {{back, "back"}});
    }

    static std::string head_of(const stand_in_target::request& r, const std::string& more)
    {
        return "HTTP/1.1 200 OK\r\ntrefoil-proof: p1\r\ntrefoil-request-id: " +
               std::string(r["trefoil-request-id"]) + "\r\n" + more + "\r\n";
    }

    answer ask(const std::string& id)
    {
        return relay_fixture::ask(front->settings.outbound, request_text(id));
    }

    /// Encodes a message between nodes with the given length prefix, kind and field bytes.
    static std::string message(std::uint32_t length, char kind, const std::string& fields)
    {
        std::string bytes;
        for (const unsigned shift : {24U, 16U, 8U, 0U}) {
            bytes += static_cast<char>(length >> shift);
        }
        return bytes + kind + fields;
    }
};

} // namespace

// Guards against exhausting the memory of the process with an endless answer body.
TEST_CASE_METHOD(hostile_bytes_fixture, "hostile_bytes_endless_body_is_aborted_at_once")
{
    const std::string body(4 * largest_answer, 'x');
    SECTION("ended by the connection")
    {
        respond = [&](const auto& r) { return reply{head_of(r, "") + body, end::silent}; };
    }
    SECTION("in chunks")
    {
        respond = [&](const auto& r) {
            return reply{head_of(r, "Transfer-Encoding: chunked\r\n") + "40000\r\n" +
                             body.substr(0, 0x40000) + "\r\n40000\r\n" + body.substr(0, 0x40000),
                         end::silent};
        };
    }
    SECTION("of a length beyond the bound")
    {
        respond = [&](const auto& r) {
            return reply{head_of(r, "Content-Length: 99999999999\r\n") + body, end::silent};
        };
    }
    CHECK(ask("id-1").result_int() == 502);
    run_until([&] { return back->target->closed() == 1; });
}

// Guards against a limit that truncates valid answers.
TEST_CASE_METHOD(hostile_bytes_fixture, "hostile_bytes_large_valid_answer_is_delivered_completely")
{
    const std::string body(largest_answer - 1000, 'x');
    respond = [&](const auto& r) { return reply{stand_in_target::answer(r, body), end::keep}; };
    CHECK(ask("id-1").body() == body);
}

// Guards against reading an endless sequence of interim answers until the deadline.
TEST_CASE_METHOD(hostile_bytes_fixture, "hostile_bytes_endless_interim_answers_are_aborted_at_once")
{
    std::string interim;
    for (int i = 0; i < 1000; ++i) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    respond = [&](const auto&) { return reply{interim, end::silent}; };
    CHECK(ask("id-1").result_int() == 502);
}

// Guards against delivering a late copy of an earlier rejection to the next caller, which would
// conclude that its request has not run.
TEST_CASE_METHOD(hostile_bytes_fixture,
                 "hostile_bytes_late_refusal_without_id_is_not_the_next_answer")
{
    respond = [&](const auto& r) { return reply{stand_in_target::answer(r, "first"), end::keep}; };
    CHECK(ask("id-1").body() == "first");
    respond = [&](const auto& r) {
        return reply{"HTTP/1.1 503 Full\r\ntrefoil-not-run: 1\r\nContent-Length: 0\r\n\r\n" +
                         stand_in_target::answer(r, "second"),
                     end::keep};
    };
    const auto got = ask("id-2");
    CHECK(got.result_int() == 502);
    CHECK(got.find("Retry-After") == got.end());
    CHECK(back->target->requests().size() == 2);
}

// Guards against a process that exits because of invalid bytes on the port for nodes.
TEST_CASE_METHOD(hostile_bytes_fixture, "hostile_bytes_at_the_port_of_nodes_node_continues")
{
    respond = [&](const auto& r) { return reply{stand_in_target::answer(r, "done"), end::keep}; };
    std::mt19937 random(20261204);
    std::vector<std::string> attacks{
        // A hello message whose array header announces 4294967295 fields.
        message(5, 1, "\xdd\xff\xff\xff\xff"),
        // The same as published state, as nested arrays, as a map and as a string.
        message(5, 9, "\xdd\xff\xff\xff\xff"),
        message(12, 1, std::string(12, '\x91')),
        message(5, 1, "\xdf\xff\xff\xff\xff"),
        message(5, 1, "\xdb\xff\xff\xff\xff"),
        // A length above the limit of all messages, and one above the limit of a hello message.
        message(0xffffffff, 1, "x"),
        message(0x00100000, 1, "x"),
    };
    for (int i = 0; i < 200; ++i) {
        std::string bytes(1 + random() % 64, '\0');
        for (auto& b : bytes) {
            b = static_cast<char>(random());
        }
        // Half of them are sent as the fields of a message, so that they reach the decoder.
        attacks.push_back(i % 2 == 0 ? bytes
                                     : message(static_cast<std::uint32_t>(bytes.size()),
                                               static_cast<char>(random() % 12), bytes));
    }
    for (const auto& bytes : attacks) {
        auto socket = connect(back->settings.inbound);
        asio::write(socket, asio::buffer(bytes));
        context.run_for(1ms);
        context.restart();
    }
    CHECK(ask("id-1").body() == "done");
}
