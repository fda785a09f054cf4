#include "control/audit_trail.h"

#include "control/control_server.h"
#include "http_call.h"
#include "metrics/metrics.h"
#include "spread/invalid_message.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
using namespace trefoil;

struct control_server_fixture {
    /// Specified in docs/design.md, section 7.
    static constexpr std::size_t max_request_bytes = std::size_t{256} * 1024;

    audit_trail audit{4};
    metrics registry;
    control_server server{
        {},
        {.rpc = [](const std::string& body) { return body; },
         .metrics = [this] { return registry.text(); },
         .status = []() -> std::string { throw trefoil::invalid_message("no status"); },
         .audit = [this](std::uint64_t after) { return audit.to_json(after); }}};

    http_response call(const std::string& path, const std::string& body = "") const
    {
        return make_http_call({"127.0.0.1", server.port(), path, body, 60s, 1 << 20});
    }
};

// Guards against a request that is routed to the wrong handler or to none.
TEST_CASE_METHOD(control_server_fixture, "control_server_request_is_routed_to_handler_of_its_path")
{
    registry.add("trefoil_messages_refused_total{reason=\"replayed\"}", 3);
    audit.record({.what = "config_accepted", .subject = "config", .from = "1", .to = "2"});
    audit.record({.what = "vm_leaving", .subject = "vm-1", .why = "it said \"so\""});
    REQUIRE(call("/rpc", "echo").body == "echo");
    REQUIRE(call("/metrics").body.find("{reason=\"replayed\"} 3\n") != std::string::npos);
    REQUIRE(call("/audit").body.find("config_accepted") != std::string::npos);
    const auto newer = call("/audit?after=1").body;
    REQUIRE(newer.find("config_accepted") == std::string::npos);
    REQUIRE(newer.find("it said \\\"so\\\"") != std::string::npos);
}

// Guards against invalid requests that crash the node or exhaust its memory.
TEST_CASE_METHOD(control_server_fixture,
                 "control_server_invalid_requests_get_error_status_and_are_counted")
{
    REQUIRE(call("/none").status == 404);
    REQUIRE(call("/rpc").status == 404);
    REQUIRE(call("/audit?after=x").status == 400);
    REQUIRE(call("/audit?after=99999999999999999999").status == 400);
    REQUIRE(call("/rpc", std::string(max_request_bytes + 1, 'x')).status == 413);
    REQUIRE(server.rejected() == 5);
    REQUIRE(call("/status").status == 500);
    REQUIRE(call("/rpc", std::string(max_request_bytes, 'x')).body.size() == max_request_bytes);
}

// Guards against two nodes that share a port unnoticed, and against a port that stays open after
// its server was destroyed.
TEST_CASE_METHOD(control_server_fixture,
                 "control_server_port_in_use_is_rejected_and_closed_after_destruction")
{
    std::uint16_t port = 0;
    {
        const control_server first({}, {});
        port = first.port();
        REQUIRE_THROWS_AS(control_server({.port = port}, {}), control_port_unavailable);
    }
    REQUIRE_THROWS_AS(make_http_call({"127.0.0.1", port, "/status", "", 60s, 100}),
                      http_call_failed);
}

// Guards against a response that exceeds the limit of the client.
TEST_CASE_METHOD(control_server_fixture, "http_call_response_above_max_size_is_rejected")
{
    REQUIRE_THROWS_AS(make_http_call({"127.0.0.1", server.port(), "/rpc", "12345", 60s, 4}),
                      http_response_too_large);
}

// Guards against an audit trail that grows without bound, or that reuses numbers after entries were
// discarded.
TEST_CASE_METHOD(control_server_fixture,
                 "audit_trail_beyond_capacity_discards_oldest_and_numbers_continue")
{
    std::vector<std::jthread> writers;
    writers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        writers.emplace_back([&] {
            for (int n = 0; n < 25; ++n) {
                audit.record({.what = "suspected"});
            }
        });
    }
    writers.clear();
    const auto retained = audit.after(0);
    REQUIRE(retained.size() == 4);
    REQUIRE(retained.front().number == 97);
    REQUIRE(retained.back().number == 100);
    REQUIRE(audit.after(98).size() == 2);
    REQUIRE(audit.after(200).empty());
}

struct metrics_fixture {
    metrics registry;
    rank_name rank{"precious"};
    group_name group{"hotel \"sol\""};

    void record(const kind_name& kind, outcome result, std::chrono::nanoseconds latency)
    {
        registry.record_call({rank, group, kind, result, refusal_reason::none}, latency);
    }
};

// Guards against calls that are lost in concurrent updates or counted under the wrong labels.
TEST_CASE_METHOD(metrics_fixture, "metrics_calls_recorded_by_many_threads_are_summed_by_label")
{
    const kind_name kind("confirm_order");
    std::vector<std::jthread> threads;
    threads.reserve(20);
    for (int i = 0; i < 20; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 100; ++n) {
                record(kind, n == 0 ? outcome::unknown : outcome::complete, 2ms);
            }
        });
    }
    threads.clear();
    REQUIRE(registry.calls({rank, group, kind, outcome::complete}) == 1980);
    REQUIRE(registry.calls({rank, group, kind, outcome::unknown}) == 20);
    const auto text = registry.text();
    REQUIRE(text.find("trefoil_calls_total{rank=\"precious\",group=\"hotel \\\"sol\\\"\","
                      "kind=\"confirm_order\",outcome=\"complete\",reason=\"none\"} 1980\n") !=
            std::string::npos);
    REQUIRE(
        text.find("trefoil_call_seconds_count{rank=\"precious\",outcome=\"complete\"} 1980\n") !=
        std::string::npos);
}

// Guards against histograms that omit latencies below the first or above the last bucket bound.
TEST_CASE_METHOD(metrics_fixture, "metrics_latencies_outside_the_buckets_are_counted")
{
    record(kind_name("k"), outcome::complete, 1ns);
    record(kind_name("k"), outcome::complete, 1h);
    const auto text = registry.text();
    REQUIRE(text.find("le=\"5e-05\"} 1\n") != std::string::npos);
    REQUIRE(text.find("le=\"60\"} 1\n") != std::string::npos);
    REQUIRE(text.find("le=\"+Inf\"} 2\n") != std::string::npos);
}

// Guards against unbounded memory use when callers send many different names.
TEST_CASE_METHOD(metrics_fixture, "metrics_series_beyond_the_limit_are_counted_as_other")
{
    for (std::size_t i = 0; i < metrics::largest_series + 50; ++i) {
        record(kind_name("kind-" + std::to_string(i)), outcome::complete, 1ms);
    }
    const rank_name other_rank("other");
    const group_name other_group("other");
    const kind_name other_kind("other");
    REQUIRE(registry.calls({other_rank, other_group, other_kind}) == 50);
}
