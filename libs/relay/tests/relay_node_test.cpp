#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// One VM with callers, and one with a target of the requested service.
struct two_vms_fixture : relay_fixture {
    std::function<reply(const stand_in_target::request&)> respond = [](const auto& r) {
        return reply{stand_in_target::answer(r, "done"), end::keep};
    };
    vm& front = add_vm("front", "front", [](const auto&) { return reply{}; });
    vm& back = add_vm("back", "orders", [this](const auto& r) { return respond(r); });

    void serve(bool idempotent) { publish(config_for("orders", idempotent), {{&back, "back"}}); }

    answer ask(const std::string& bytes)
    {
        return relay_fixture::ask(front.settings.outbound, bytes);
    }
};

/// One VM with callers and one with a target; the grace time is long enough for a slow machine.
struct slow_reader_fixture : relay_fixture {
    std::string body;
    bool ended = false;
    vm* front = nullptr;
    vm* back = nullptr;

    slow_reader_fixture()
    {
        grace = 10min;
        front = &add_vm("front", "front", [](const auto&) { return reply{}; });
        back = &add_vm("back", "orders", [this](const auto& r) {
            return reply{stand_in_target::answer(r, body), end::keep};
        });
        publish(config_for("orders", false), {{back, "back"}});
    }
};

struct drained_fixture : two_vms_fixture {
    bool ended = false;

    /// A request takes at most this long, so that it ends within the grace time if it comes early.
    static constexpr auto timeout = 3500ms;

    void serve(bool idempotent)
    {
        publish(config_for("orders", idempotent, config_version{1}, timeout), {{&back, "back"}});
    }

    /// Sends requests until one is rejected. Returns the number served and the rejecting answer.
    std::pair<int, answer> ask_until_refused()
    {
        int taken = 0;
        auto got = ask(request_text("id-0"));
        while (got.result_int() == 200 && !ended) {
            ++taken;
            context.run_for(50ms);
            got = ask(request_text("id-" + std::to_string(taken)));
        }
        return {taken, got};
    }

    unsigned ready_status()
    {
        return relay_fixture::ask(front.settings.ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .result_int();
    }
};

} // namespace

// Guards against requests that are changed in transit, and against callers that forge headers set
// by the nodes.
TEST_CASE_METHOD(two_vms_fixture, "relay_request_for_other_vm_arrives_unchanged")
{
    serve(false);
    const auto got = ask(
        request_text("id-1",
                     "trefoil-caller-service: forged\r\ntrefoil-target: forged\r\nX-Other: kept\r\n"
                     "Connection: X-Hop\r\nX-Hop: dropped\r\nTransfer-Encoding: chunked\r\n",
                     "POST /work/1?x=2 HTTP/1.1") +
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(got.result_int() == 200);
    CHECK(got.body() == "done");
    CHECK(got["trefoil-proof"] == "p1");
    CHECK(got["trefoil-request-id"] == "id-1");
    REQUIRE(back.target->requests().size() == 1);
    const auto& sent = back.target->requests().front();
    CHECK(sent.method_string() == "POST");
    CHECK(sent.target() == "/work/1?x=2");
    CHECK(sent.body() == "abcde");
    CHECK(sent["Host"] == "shop.example");
    CHECK(sent["X-Other"] == "kept");
    CHECK(sent.find("X-Hop") == sent.end());
    CHECK(sent["trefoil-caller-service"] == "front");
    CHECK(sent["trefoil-target"] == "back");
    CHECK(sent.find("trefoil-deadline-ms") != sent.end());
}

// Guards against a large first request on a connection being rejected as an oversized hello
// message.
TEST_CASE_METHOD(two_vms_fixture, "relay_first_request_with_large_body_arrives")
{
    serve(false);
    const std::string body(20000, 'x');
    const auto got =
        ask(request_text("id-1", "Content-Length: 20000\r\n", "POST /work/1 HTTP/1.1") + body);
    CHECK(got.result_int() == 200);
    REQUIRE(back.target->requests().size() == 1);
    CHECK(back.target->requests().front().body() == body);
}

// Guards against reporting a success that the target did not produce itself.
TEST_CASE_METHOD(two_vms_fixture, "relay_answer_without_proof_is_no_success")
{
    serve(false);
    respond = [](const auto& r) {
        return reply{"HTTP/1.1 200 OK\r\ntrefoil-request-id: " +
                         std::string(r["trefoil-request-id"]) + "\r\nContent-Length: 2\r\n\r\nok",
                     end::keep};
    };
    CHECK(ask(request_text("id-1")).result_int() == 502);
    CHECK(back.target->requests().size() == 1);
}

// Guards against delivering a duplicate answer to an earlier request as the answer to the next one.
TEST_CASE_METHOD(two_vms_fixture, "relay_surplus_answer_is_skipped")
{
    serve(true);
    respond = [](const auto& r) {
        auto other = r;
        other.set("trefoil-request-id", "other");
        return reply{stand_in_target::answer(other, "wrong") + stand_in_target::answer(r, "right"),
                     end::keep};
    };
    CHECK(ask(request_text("id-1")).body() == "right");
    CHECK(ask(request_text("id-2")).body() == "right");
}

// Guards against delivering an answer as complete that was truncated by a connection reset.
TEST_CASE_METHOD(two_vms_fixture, "relay_answer_until_close_is_complete_only_if_closed_in_order")
{
    serve(false);
    auto then = end::close;
    respond = [&](const auto& r) {
        return reply{"HTTP/1.1 200 OK\r\ntrefoil-proof: p1\r\ntrefoil-request-id: " +
                         std::string(r["trefoil-request-id"]) + "\r\n\r\npart",
                     then};
    };
    CHECK(ask(request_text("id-1")).body() == "part");
    then = end::reset;
    CHECK(ask(request_text("id-2")).result_int() == 502);
}

// Guards against sending a request that is not idempotent again after its answer was lost.
TEST_CASE_METHOD(two_vms_fixture,
                 "relay_lost_answer_of_non_idempotent_request_is_reported_as_unknown")
{
    serve(false);
    respond = [](const auto&) { return reply{"", end::reset}; };
    const auto got = ask(request_text("id-1"));
    CHECK(got.result_int() == 502);
    CHECK(got.find("Retry-After") == got.end());
    CHECK(back.target->requests().size() == 1);
}

// Guards against reusing a connection on which the target stopped answering. The connection must be
// closed at the deadline of its request, the caller must receive 504, and no other request may use
// the connection.
TEST_CASE_METHOD(two_vms_fixture, "relay_hung_connection_is_closed_at_the_deadline_and_not_reused")
{
    auto config = config_for("orders", false);
    config.routes.front().timeout = 600ms;
    publish(config, {{&back, "back"}});
    respond = [](const auto& r) {
        return r["trefoil-request-id"] == "hung"
                   ? reply{"", end::silent}
                   : reply{stand_in_target::answer(r, "done"), end::keep};
    };
    CHECK(ask(request_text("id-1")).body() == "done");
    auto hung = connect(front.settings.outbound);
    asio::write(hung, asio::buffer(request_text("hung")));
    run_until([&] { return back.target->requests().size() == 2; });
    CHECK(ask(request_text("id-2")).body() == "done");
    CHECK(read_answer(hung).result_int() == 504);
    run_until([&] { return back.target->closed() == 1; });
    CHECK(ask(request_text("id-3")).body() == "done");
}

// Guards against a 503 answer without Retry-After.
TEST_CASE_METHOD(two_vms_fixture, "relay_declined_request_is_refused_with_retry_after")
{
    serve(false);
    respond = [](const auto& r) {
        return reply{"HTTP/1.1 503 Full\r\ntrefoil-not-run: 1\r\ntrefoil-request-id: " +
                         std::string(r["trefoil-request-id"]) + "\r\nContent-Length: 0\r\n\r\n",
                     end::keep};
    };
    const auto got = ask(request_text("id-1"));
    CHECK(got.result_int() == 503);
    CHECK(got.find("Retry-After") != got.end());
}

// Guards against work that continues after its caller closed the connection.
TEST_CASE_METHOD(two_vms_fixture, "relay_caller_disconnects_idempotent_request_is_cancelled")
{
    serve(true);
    respond = [](const auto&) { return reply{"", end::silent}; };
    auto caller = connect(front.settings.outbound);
    asio::write(caller, asio::buffer(request_text("id-1")));
    run_until([&] { return back.target->requests().size() == 1; });
    caller.close();
    run_until([&] { return back.target->closed() == 1; });
    CHECK(back.target->requests().size() == 1);
}

// Guards against callers that wait without limit for a silent target: they receive 504 at the
// timeout of the route.
TEST_CASE_METHOD(two_vms_fixture, "relay_silent_target_ends_at_timeout_of_route")
{
    auto config = config_for("orders", false);
    config.routes.front().timeout = 100ms;
    publish(config, {{&back, "back"}});
    respond = [](const auto&) { return reply{"", end::silent}; };
    CHECK(ask(request_text("id-1")).result_int() == 504);
}

// Guards against pipelined requests that are lost or answered out of order.
TEST_CASE_METHOD(two_vms_fixture, "relay_pipelined_requests_are_answered_in_order")
{
    serve(true);
    respond = [](const auto& r) {
        return reply{stand_in_target::answer(r, std::string(r["trefoil-request-id"])), end::keep};
    };
    auto caller = connect(front.settings.outbound);
    CHECK(relay_fixture::ask(caller, request_text("id-1") + request_text("id-2")).body() == "id-1");
    CHECK(read_answer(caller).body() == "id-2");
}

// Guards against request smuggling by contradictory framing headers.
TEST_CASE_METHOD(two_vms_fixture, "relay_contradictory_length_is_refused")
{
    serve(true);
    const auto got = ask(request_text("id-1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                                      "POST /work/1 HTTP/1.1") +
                         "0\r\n\r\n");
    CHECK(got.result_int() == 400);
    CHECK(back.target->requests().empty());
}

// Guards against answering 404 for a route before any configuration is loaded.
TEST_CASE_METHOD(two_vms_fixture,
                 "relay_unknown_configuration_and_unknown_route_have_different_status")
{
    CHECK(ask(request_text("id-1")).result_int() == 503);
    serve(true);
    CHECK(ask(request_text("id-2", {}, "GET /none/ HTTP/1.1")).result_int() == 404);
    CHECK(ask(request_text("id-3")).result_int() == 200);
}

// Guards against a delayed older configuration replacing a newer one.
TEST_CASE_METHOD(two_vms_fixture, "relay_older_configuration_changes_nothing")
{
    auto newer = config_for("orders", true);
    newer.version = config_version{2};
    newer.routes.front().prefix = "/new/";
    publish(newer, {{&back, "back"}});
    serve(true);
    CHECK(ask(request_text("id-1", {}, "GET /new/ HTTP/1.1")).result_int() == 200);
    CHECK(ask(request_text("id-2")).result_int() == 404);
}

// Guards against a retry that is sent to the target that failed, or is not sent at all.
TEST_CASE_METHOD(two_vms_fixture, "relay_idempotent_request_is_retried_on_another_target")
{
    int calls = 0;
    respond = [&](const auto& r) {
        ++calls;
        return calls == 1 ? reply{"", end::reset}
                          : reply{stand_in_target::answer(r, "first"), end::keep};
    };
    vm& other = add_vm("other", "orders", [&](const auto& r) {
        ++calls;
        return calls == 1 ? reply{"", end::reset}
                          : reply{stand_in_target::answer(r, "second"), end::keep};
    });
    publish(config_for("orders", true), {{&back, "back"}, {&other, "other"}});
    CHECK(ask(request_text("id-1")).result_int() == 200);
    CHECK(back.target->requests().size() == 1);
    CHECK(other.target->requests().size() == 1);
}

// Guards against a node that has no state while the store rejects it; it can fetch the state from a
// peer.
TEST_CASE_METHOD(two_vms_fixture, "relay_peer_state_is_received_over_open_connection")
{
    serve(true);
    CHECK(ask(request_text("id-1")).result_int() == 200);
    front.node->request_state(back.settings.inbound.address().to_string());
    run_until([&] { return !front.received.empty(); });
    CHECK(front.received.front().key == "key");
    CHECK(front.received.front().value == "value");
}

// Guards against a planned stop that truncates an answer to a slow reader.
TEST_CASE_METHOD(slow_reader_fixture, "relay_drain_answer_that_is_read_slowly_is_finished")
{
    // More than the buffers of a loopback connection hold.
    body = std::string(std::size_t{12} << 20U, 'x');
    auto caller = connect(front->settings.outbound);
    asio::write(caller, asio::buffer(request_text("id-1")));
    run_until([&] { return caller.available() > 0; });
    front->node->drain([this] { ended = true; });
    context.run_for(3s);
    context.restart();
    CHECK_FALSE(ended);
    boost::beast::flat_buffer buffer;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.body_limit(body.size());
    bool is_read = false;
    boost::beast::http::async_read(caller, buffer, parser, [&](auto error, std::size_t) {
        CHECK_FALSE(error);
        is_read = true;
    });
    run_until([&] { return is_read; });
    CHECK(parser.get().body().size() == body.size());
    run_until([this] { return ended; });
}

// Guards against requests aborted by a planned stop, and callers that are not asked to reconnect.
TEST_CASE_METHOD(drained_fixture, "relay_drain_finishes_requests_and_is_not_ready")
{
    CHECK(ready_status() == 503);
    serve(true);
    CHECK(ready_status() == 200);
    auto caller = connect(front.settings.outbound);
    CHECK(relay_fixture::ask(caller, request_text("id-1")).keep_alive());
    front.node->drain([this] { ended = true; });
    CHECK(ready_status() == 503);
    const auto got = relay_fixture::ask(caller, request_text("id-2"));
    CHECK(got.result_int() == 200);
    CHECK_FALSE(got.keep_alive());
    run_until([this] { return ended; });
}

// Guards against a draining node accepting requests so late that the exit of its process aborts
// them.
TEST_CASE_METHOD(drained_fixture, "relay_drain_late_request_is_refused_with_retry_after")
{
    serve(true);
    int served = 0;
    respond = [&served](const auto& r) {
        if (r["trefoil-request-id"] == "id-held") {
            return reply{"", end::silent};
        }
        ++served;
        return reply{stand_in_target::answer(r, "done"), end::keep};
    };
    // A request in progress keeps the drain from ending early.
    auto held = connect(front.settings.outbound);
    asio::write(held, asio::buffer(request_text("id-held")));
    run_until([this] { return back.target->requests().size() == 1; });
    front.node->drain([this] { ended = true; });
    const auto [taken, got] = ask_until_refused();
    CHECK(got.result_int() == 503);
    CHECK(got.find("Retry-After") != got.end());
    CHECK(served == taken);
    run_until([this] { return ended; });
}

// Guards against a restart that takes the node's target out of service for longer than needed, and
// against requests to it that the exit of the process aborts.
TEST_CASE_METHOD(drained_fixture, "relay_drain_other_nodes_use_the_target_at_first")
{
    serve(true);
    back.node->drain([this] { ended = true; });
    const auto [taken, got] = ask_until_refused();
    CHECK(taken > 0);
    CHECK(got.result_int() == 503);
    CHECK(back.target->requests().size() == static_cast<std::size_t>(taken));
    run_until([this] { return ended; });
}
