#include "call_io/asio.h"
#include "control/control_server.h"

#include "control/peer_client.h"
#include "control/rpc_server.h"
#include "spread/invalid_message.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <condition_variable>
#include <mutex>
#include <stdexcept>

using namespace std::chrono_literals;
using namespace trefoil;

struct peer_client_fixture {
    static constexpr const char* escaped_text = "[bundle]\nversion = 7 # \"quoted\" \\ \u00e9\n";

    static constexpr const char* valid_header =
        R"({"cluster":"serra","protocol":1,"from":"a","incarnation":1,"sequence":1})";

    std::optional<rpc_refusal> refusal;
    std::size_t malformed = 0;
    rpc_server rpc{{.admit = [this](const message_header&, std::size_t) { return refusal; },
                    .malformed = [this] { ++malformed; },
                    .exchange =
                        [](const exchange_message& request) {
                            auto result = request;
                            result.header.from = vm_name("receiver");
                            return result;
                        },
                    .fetch_config =
                        [](const fetch_config_request& request) {
                            return fetch_config_result{
                                {request.held.value + 1}, digest_of(escaped_text), escaped_text};
                        },
                    .fetch_list =
                        [](const fetch_list_request& request) {
                            return fetch_list_result{request.held, {}, ""};
                        },
                    .grant_lease = [](const grant_lease_request& request) -> grant_lease_result {
                        if (request.service.empty()) {
                            throw trefoil::invalid_message("error in a handler");
                        }
                        const bool fields_match =
                            request.grant.duration == 2s && request.grant.members_digest == 77;
                        return {{fields_match,
                                 true,
                                 request.grant.revision,
                                 {{{4}, {vm_name("a"), vm_name("b")}, 3s}, {{5}, {}, 0s}}}};
                    }}};
    control_server server{{},
                          {.rpc = [this](const std::string& body) { return rpc.handle(body); }}};
    peer_endpoint peer{"127.0.0.1", server.port()};
    /// Far above what a call over loopback needs, so that high load on the machine does not fail
    /// the test.
    peer_client client{{.timeout = 60s}};
    message_header header{"serra", protocol_version, vm_name("sender"), 3, 9};
};

// Guards against fields of a request or result that are lost in the JSON conversion.
TEST_CASE_METHOD(peer_client_fixture, "peer_client_every_method_returns_the_result_of_the_peer")
{
    exchange_message request{.header = header, .config = {7}, .contact_age = 5ms};
    auto expected = request;
    expected.header.from = vm_name("receiver");
    REQUIRE(client.exchange(peer, request) == expected);

    const auto config = client.fetch_config(peer, {header, {6}});
    REQUIRE(config.version == config_version{7});
    REQUIRE(config.text == escaped_text);
    REQUIRE(config.digest == digest_of(config.text));

    REQUIRE(client.fetch_list(peer, {header, {8}}).revision == list_revision{8});

    const auto lease =
        client.grant_lease(peer, {header, service_name("pedidos"), {{5}, 77, 2s}}).grant;
    REQUIRE(lease.granted);
    REQUIRE(lease.ready);
    REQUIRE(lease.revision == list_revision{5});
    REQUIRE(lease.lists.size() == 2);
    REQUIRE(lease.lists[0].revision == list_revision{4});
    REQUIRE(lease.lists[0].members == std::vector{vm_name("a"), vm_name("b")});
    REQUIRE(lease.lists[0].age == 3s);
    REQUIRE(lease.lists[1].members.empty());
    REQUIRE(malformed == 0);
}

// Guards against size limits that prevent nodes from fetching a bundle of the maximum size.
TEST_CASE("peer_client_bundle_of_1_mb_is_fetched_completely")
{
    // A line break is escaped to two bytes in JSON, which is the longest encoding of characters
    // that are common in text.
    const std::string text(std::size_t{1024} * 1024, '\n');
    rpc_server rpc({.admit = [](const message_header&, std::size_t) { return std::nullopt; },
                    .fetch_config =
                        [&](const fetch_config_request&) {
                            return fetch_config_result{{1}, digest_of(text), text};
                        }});
    control_server server({}, {.rpc = [&](const std::string& body) { return rpc.handle(body); }});
    peer_client client({.timeout = 60s});
    const auto fetched = client.fetch_config({"127.0.0.1", server.port()}, {});
    REQUIRE(fetched.text == text);
}

// Guards against a refusal from which the sender cannot determine the reason, or which side has the
// older list.
TEST_CASE_METHOD(peer_client_fixture, "peer_client_refused_message_reports_reason_and_revision")
{
    refusal = rpc_refusal{message_refusal::unknown_sender, {12}};
    try {
        client.exchange(peer, {.header = header});
        FAIL("not refused");
    }
    catch (const peer_refused& e) {
        REQUIRE(e.reason() == message_refusal::unknown_sender);
        REQUIRE(e.revision() == list_revision{12});
    }
}

// Guards against an error at the peer that terminates the process instead of failing one call.
TEST_CASE_METHOD(peer_client_fixture, "peer_client_errors_of_the_peer_throw_typed_exceptions")
{
    REQUIRE_THROWS_AS(client.grant_lease(peer, {header, service_name(""), {{5}, 77, 2s}}),
                      invalid_peer_answer);
    exchange_message oversized{.header = header};
    oversized.header.cluster = std::string(300'000, 'c');
    REQUIRE_THROWS_AS(client.exchange(peer, oversized), peer_refused);
    oversized.header.cluster = std::string(1000, 'c');
    REQUIRE_THROWS_AS(client.exchange(peer, oversized), peer_refused);
    REQUIRE(malformed == 1);
    // Bound but not listening.
    asio::io_context context;
    const tcp::endpoint local(asio::ip::make_address("127.0.0.1"), 0);
    tcp::acceptor bound(context);
    bound.open(local.protocol());
    bound.bind(local);
    REQUIRE_THROWS_AS(client.exchange({"127.0.0.1", bound.local_endpoint().port()}, {}),
                      peer_unreachable);
    REQUIRE_THROWS_AS(client.exchange({"not an address", 1}, {}), peer_unreachable);
}

// Guards against a call that waits indefinitely for an unresponsive peer.
TEST_CASE("peer_client_call_to_unresponsive_peer_fails_after_timeout")
{
    std::mutex mutex;
    std::condition_variable changed;
    bool ended = false;
    control_server server({}, {.rpc = [&](const std::string&) {
                              std::unique_lock lock(mutex);
                              changed.wait(lock, [&] { return ended; });
                              return std::string();
                          }});
    peer_client client({.timeout = 50ms});
    REQUIRE_THROWS_AS(client.exchange({"127.0.0.1", server.port()}, {}), peer_unreachable);
    const std::lock_guard lock(mutex);
    ended = true;
    changed.notify_all();
}

// Guards against a response that terminates the process: the client of libjsonrpccpp would call
// std::unexpected on JSON values of the wrong type and on deep nesting.
TEST_CASE("peer_client_arbitrary_responses_throw_typed_exceptions")
{
    std::string response;
    control_server server({}, {.rpc = [&](const std::string&) { return response; }});
    peer_client client({.timeout = 60s});
    REQUIRE(rc::check([&] {
        const auto fragment = [] {
            return *rc::gen::element<std::string>(
                "null", "1", "1e99", "\"x\"", "[]", "{}", "{\"code\":1}",
                "{\"code\":\"x\",\"message\":1}", "{\"code\":-32001,\"message\":\"m\"}",
                "{\"code\":-32001,\"message\":\"m\",\"data\":7}",
                "{\"code\":1e99,\"message\":\"m\"}", std::string(2000, '['));
        };
        response = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            response = "{\"jsonrpc\":\"2.0\",\"id\":" + fragment() + ",\"" +
                       *rc::gen::element<std::string>("result", "error", "x") + "\":" + fragment() +
                       "}";
        }
        try {
            client.exchange({"127.0.0.1", server.port()}, {});
            RC_FAIL("accepted");
        }
        catch (const peer_call_failed&) {
            RC_SUCCEED("typed failure");
        }
    }));
}

// Guards against a request that crashes the receiver or is not counted as malformed.
TEST_CASE_METHOD(peer_client_fixture, "rpc_server_arbitrary_requests_are_refused_and_counted")
{
    REQUIRE(rc::check([&] {
        const auto fragment = [] {
            return *rc::gen::element<std::string>("null", "1", "-1", "\"exchange\"", "\"2.0\"",
                                                  "[]", "{}", std::string(2000, '['));
        };
        auto body = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            // A valid header lets the request reach the checks of the JSON-RPC fields and of the
            // fields of the method.
            const auto params =
                *rc::gen::arbitrary<bool>() ? std::string(valid_header) : fragment();
            body = "{\"jsonrpc\":" + fragment() + ",\"id\":" + fragment() +
                   ",\"method\":" + fragment() + ",\"params\":" + params + "}";
        }
        const auto before = malformed;
        const auto response = rpc.handle(body);
        RC_ASSERT(malformed == before + 1);
        RC_ASSERT(response.find("malformed") != std::string::npos);
    }));
}

// Guards against a success response to an unknown method, or to a known method with incomplete
// parameters.
TEST_CASE_METHOD(peer_client_fixture, "rpc_server_unknown_method_and_incomplete_params_are_errors")
{
    const auto send = [&](const std::string& method) {
        return rpc.handle(R"({"jsonrpc":"2.0","id":1,"method":")" + method + R"(","params":)" +
                          valid_header + "}");
    };
    REQUIRE(send("drop_tables").find("-32601") != std::string::npos);
    for (const char* method : {"exchange", "fetch_config", "fetch_list", "grant_lease"}) {
        REQUIRE(send(method).find("malformed") != std::string::npos);
    }
    REQUIRE(malformed == 4);
}
