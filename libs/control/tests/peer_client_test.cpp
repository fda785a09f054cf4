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
    static constexpr const char* quoted_text = "[bundle]\nversion = 7 # \"quoted\" \\ \u00e9\n";

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
                                {request.held.value + 1}, digest_of(quoted_text), quoted_text};
                        },
                    .fetch_list =
                        [](const fetch_list_request& request) {
                            return fetch_list_result{request.held, {}, ""};
                        },
                    .grant_lease = [](const grant_lease_request& request) -> grant_lease_result {
                        if (request.service.empty()) {
                            throw trefoil::invalid_message("fault in a handler");
                        }
                        const bool whole =
                            request.grant.duration == 2s && request.grant.members_digest == 77;
                        return {{whole,
                                 true,
                                 request.grant.revision,
                                 {{{4}, {vm_name("a"), vm_name("b")}, 3s}, {{5}, {}, 0s}}}};
                    }}};
    control_server server{{},
                          {.rpc = [this](const std::string& body) { return rpc.handle(body); }}};
    peer_endpoint peer{"127.0.0.1", server.port()};
    /// Far above what loopback needs, so that a busy machine does not change the verdict.
    peer_client client{{.timeout = 60s}};
    message_header header{"serra", protocol_version, vm_name("sender"), 3, 9};
};

// Guards against fields that a method's request or result loses between two nodes.
TEST_CASE_METHOD(peer_client_fixture, "peer_client_every_method_returns_what_the_peer_answered")
{
    exchange_message request{.header = header, .config = {7}, .contact_age = 5ms};
    auto expected = request;
    expected.header.from = vm_name("receiver");
    REQUIRE(client.exchange(peer, request) == expected);

    const auto config = client.fetch_config(peer, {header, {6}});
    REQUIRE(config.version == config_version{7});
    REQUIRE(config.text == quoted_text);
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

// Guards against a bundle of the largest size that peers could not pass on.
TEST_CASE("peer_client_bundle_of_1_mb_is_fetched_whole")
{
    // A line break takes two bytes in JSON, so this is the longest encoding of usual text.
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

// Guards against a refused sender that cannot tell why, or which side's list is older.
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

// Guards against a fault at the peer that ends a process instead of failing one call.
TEST_CASE_METHOD(peer_client_fixture, "peer_client_faults_of_the_peer_are_typed_failures")
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

// Guards against a call that waits for a silent peer without end.
TEST_CASE("peer_client_silent_peer_fails_after_the_time_out")
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

// Guards against an answer that ends the process: libjsonrpccpp's client would call std::unexpected
// on JSON values of the wrong type and on deep nesting.
TEST_CASE("peer_client_arbitrary_answers_are_typed_failures")
{
    std::string answer;
    control_server server({}, {.rpc = [&](const std::string&) { return answer; }});
    peer_client client({.timeout = 60s});
    REQUIRE(rc::check([&] {
        const auto part = [] {
            return *rc::gen::element<std::string>(
                "null", "1", "1e99", "\"x\"", "[]", "{}", "{\"code\":1}",
                "{\"code\":\"x\",\"message\":1}", "{\"code\":-32001,\"message\":\"m\"}",
                "{\"code\":-32001,\"message\":\"m\",\"data\":7}",
                "{\"code\":1e99,\"message\":\"m\"}", std::string(2000, '['));
        };
        answer = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            answer = "{\"jsonrpc\":\"2.0\",\"id\":" + part() + ",\"" +
                     *rc::gen::element<std::string>("result", "error", "x") + "\":" + part() + "}";
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

// Guards against a request that ends the receiver or goes uncounted.
TEST_CASE_METHOD(peer_client_fixture, "rpc_server_arbitrary_requests_are_refused_and_counted")
{
    REQUIRE(rc::check([&] {
        const auto part = [] {
            return *rc::gen::element<std::string>("null", "1", "-1", "\"exchange\"", "\"2.0\"",
                                                  "[]", "{}", std::string(2000, '['));
        };
        auto body = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            // With a valid header, only the checks of the envelope and of the method's fields are
            // left.
            const auto params = *rc::gen::arbitrary<bool>() ? std::string(valid_header) : part();
            body = "{\"jsonrpc\":" + part() + ",\"id\":" + part() + ",\"method\":" + part() +
                   ",\"params\":" + params + "}";
        }
        const auto before = malformed;
        const auto answer = rpc.handle(body);
        RC_ASSERT(malformed == before + 1);
        RC_ASSERT(answer.find("malformed") != std::string::npos);
    }));
}

// Guards against an unknown method or a wrong body of a known one being taken for a success.
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
