#include "relay_fixture.h"
#include "stand_in_node.h"

#include <catch2/catch.hpp>

#include <boost/asio/read_until.hpp>

#include <random>
#include <regex>
#include <string>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;
using request = stand_in_target::request;

/// A target that answers with the status line of the test, an entry node, and callers that read the
/// bytes they get.
struct status_line_fixture : relay_fixture {
    std::string status_line = "HTTP/1.1 200 OK";
    /// Headers and body after the request's id.
    std::string rest = "trefoil-proof: p1\r\nContent-Length: 4\r\n\r\ndone";
    end then = end::keep;
    vm& front = add_vm("front", "front", [](const auto&) { return reply{}; });
    vm& back = add_vm("back", "orders", [this](const auto& r) { return respond(r); });

    status_line_fixture() { publish(config_for("orders", false), {{&back, "back"}}); }

    reply respond(const request& r) const
    {
        const auto id = std::string(r["trefoil-request-id"]);
        if (id == "unanswered") {
            return {"", end::silent};
        }
        if (id == "next") {
            return {stand_in_target::answer(r, "next"), end::keep};
        }
        return {status_line + "\r\ntrefoil-request-id: " + id + "\r\n" + rest, then};
    }

    vm& any_entry() { return GENERATE(false, true) ? front : back; }

    /// Returns the status line that the caller gets.
    std::string status_line_at_caller(const vm& entry)
    {
        auto caller = connect(entry.settings.outbound);
        asio::write(caller, asio::buffer(request_text("id")));
        std::string bytes;
        bool is_read = false;
        asio::async_read_until(caller, asio::dynamic_buffer(bytes), "\r\n",
                               [&](auto, std::size_t) { is_read = true; });
        run_until([&] { return is_read; });
        return bytes.substr(0, bytes.find("\r\n"));
    }

    bool serves_next(const vm& entry)
    {
        return ask(entry.settings.outbound, request_text("next")).body() == "next";
    }
};

/// An entry node and a peer that answers its second request with the values of the test.
struct invalid_answer_fixture : relay_fixture {
    answer_message invalid;
    vm& front = add_vm("front", "front", [](const auto&) { return reply{}; });
    const asio::ip::address peer_address = asio::ip::make_address("127.0.0.9");
    stand_in_node peer{context,
                       {peer_address, front.settings.inbound.port()},
                       [](std::size_t number) { return number == 0 ? 300ms : 0ms; },
                       [this](std::size_t number, answer_message& answer) {
                           if (number == 1) {
                               invalid.stream = answer.stream;
                               answer = invalid;
                           }
                       }};

    invalid_answer_fixture()
    {
        front.node->set_config(config_for("orders", false));
        auto entry = entry_of(front, "peer");
        entry.service = service_name("orders");
        entry.address = peer_address.to_string();
        front.node->put_target(entry);
    }
};

} // namespace

// Guards against passing bytes on to a caller that are no HTTP response, since the target's status
// code is none: the case review/5.
TEST_CASE_METHOD(status_line_fixture, "status_line_without_a_final_status_is_answered_502")
{
    const auto& entry = any_entry();
    status_line = GENERATE("HTTP/1.1 000 ", "HTTP/1.1 001 OK", "HTTP/1.1 006 OK", "HTTP/1.1 099 OK",
                           "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK",
                           "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
                           "HTTP/1.1 2O0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200", "HTTP/1.1 ",
                           "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK",
                           "HTTP/11 200 OK", "http/1.1 200 OK", "ICY 200 OK", "200 OK", "");
    const bool is_refusal = GENERATE(false, true);
    rest = std::string(is_refusal ? "trefoil-not-run: 1\r\n" : "trefoil-proof: p1\r\n") +
           "Content-Length: 4\r\n\r\n\x01\x02\x03\x04";
    INFO(status_line);
    CHECK(status_line_at_caller(entry) == "HTTP/1.1 502 Bad Gateway");
    CHECK(serves_next(entry));
}

// Guards against the same for a body that ends with the connection.
TEST_CASE_METHOD(status_line_fixture, "status_line_without_a_final_status_at_the_end_is_502")
{
    const auto& entry = any_entry();
    status_line = GENERATE("HTTP/1.1 000 ", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK");
    rest = "\r\ndone";
    then = end::close;
    CHECK(status_line_at_caller(entry) == "HTTP/1.1 502 Bad Gateway");
    CHECK(serves_next(entry));
}

// Guards against a range check that refuses valid responses.
TEST_CASE_METHOD(status_line_fixture, "status_line_with_a_final_status_is_passed_on")
{
    const auto& entry = any_entry();
    const auto [line, status] =
        GENERATE(table<std::string, std::string>({{"HTTP/1.1 200 ", "200"},
                                                  {"HTTP/1.0 200 OK", "200"},
                                                  {"HTTP/1.1 299 Any", "299"},
                                                  {"HTTP/1.1 404 Not Found", "404"},
                                                  {"HTTP/1.1 500 Failed", "500"},
                                                  {"HTTP/1.1 599 Any", "599"}}));
    status_line = line;
    CHECK(status_line_at_caller(entry).substr(0, 12) == "HTTP/1.1 " + status);
    CHECK(serves_next(entry));
}

// Guards against any spoiled status line that reaches a caller as bytes that are no response.
TEST_CASE_METHOD(status_line_fixture, "status_line_spoiled_at_random_callers_get_a_response")
{
    std::mt19937 random(20261205);
    const std::regex valid("HTTP/1\\.1 [2-5][0-9][0-9] .*");
    const std::string characters = "0123456789 HTP/.\t\r\nx\x01\xff";
    const auto& entry = any_entry();
    for (int i = 0; i < 300; ++i) {
        status_line = "HTTP/1.1 200 OK";
        for (auto changes = 1 + random() % 3; changes > 0; --changes) {
            status_line[random() % status_line.size()] = characters[random() % characters.size()];
        }
        INFO(i << ": " << status_line);
        CHECK(std::regex_match(status_line_at_caller(entry), valid));
    }
    CHECK(serves_next(entry));
}

// Guards against a spoiled answer of a target that ends other requests between the two nodes.
TEST_CASE_METHOD(status_line_fixture, "status_line_spoiled_other_requests_of_the_link_continue")
{
    auto other = connect(front.settings.outbound);
    asio::write(other, asio::buffer(request_text("unanswered")));
    run_until([this] { return back.target->requests().size() == 1; });
    status_line = GENERATE("HTTP/1.1 000 ", "HTTP/1.1 600 OK");
    CHECK(status_line_at_caller(front) == "HTTP/1.1 502 Bad Gateway");
    CHECK(serves_next(front));
    CHECK(other.available() == 0);
}

// Guards against the same when the other node, of another version, passes on invalid values.
TEST_CASE_METHOD(invalid_answer_fixture,
                 "status_line_invalid_answer_of_a_node_ends_only_its_request")
{
    SECTION("status 0")
    {
        invalid.status = 0;
    }
    SECTION("status 600")
    {
        invalid.status = 600;
    }
    SECTION("unknown outcome")
    {
        invalid.outcome = 77;
    }
    SECTION("admit level")
    {
        invalid.status = 200;
        invalid.level = 1001;
    }
    auto other = connect(front.settings.outbound);
    asio::write(other, asio::buffer(request_text("id-1")));
    run_until([this] { return peer.requests() == 1; });
    CHECK(ask(front.settings.outbound, request_text("id-2")).result_int() == 502);
    CHECK(read_answer(other).result_int() == 200);
    CHECK(ask(front.settings.outbound, request_text("id-3")).result_int() == 200);
    CHECK(peer.connections() == 1);
}
