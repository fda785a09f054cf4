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
    /// Design page, section 7.
    static constexpr std::size_t largest_request = std::size_t{256} * 1024;

    audit_trail audit{4};
    metrics counts;
    control_server server{
        {},
        {.rpc = [](const std::string& body) { return body; },
         .metrics = [this] { return counts.text(); },
         .status = []() -> std::string { throw trefoil::invalid_message("no status"); },
         .audit = [this](std::uint64_t after) { return audit.to_json(after); }}};

    http_answer call(const std::string& path, const std::string& body = "") const
    {
        return make_http_call({"127.0.0.1", server.port(), path, body, 60s, 1 << 20});
    }
};

// Guards against an operator's request that reaches the wrong handler or none.
TEST_CASE_METHOD(control_server_fixture, "control_server_each_path_answers_with_its_handler")
{
    counts.add("trefoil_messages_refused_total{reason=\"replayed\"}", 3);
    audit.record({.what = "config_accepted", .subject = "config", .from = "1", .to = "2"});
    audit.record({.what = "vm_leaving", .subject = "vm-1", .why = "it said \"so\""});
    REQUIRE(call("/rpc", "echo").body == "echo");
    REQUIRE(call("/metrics").body.find("{reason=\"replayed\"} 3\n") != std::string::npos);
    REQUIRE(call("/audit").body.find("config_accepted") != std::string::npos);
    const auto newer = call("/audit?after=1").body;
    REQUIRE(newer.find("config_accepted") == std::string::npos);
    REQUIRE(newer.find("it said \\\"so\\\"") != std::string::npos);
}

// Guards against bad requests that end the node or take its memory.
TEST_CASE_METHOD(control_server_fixture,
                 "control_server_bad_requests_get_their_status_and_are_counted")
{
    REQUIRE(call("/none").status == 404);
    REQUIRE(call("/rpc").status == 404);
    REQUIRE(call("/audit?after=x").status == 400);
    REQUIRE(call("/audit?after=99999999999999999999").status == 400);
    REQUIRE(call("/rpc", std::string(largest_request + 1, 'x')).status == 413);
    REQUIRE(server.refused() == 5);
    REQUIRE(call("/status").status == 500);
    REQUIRE(call("/rpc", std::string(largest_request, 'x')).body.size() == largest_request);
}

// Guards against two nodes that silently share a port, and against one that outlives its server.
TEST_CASE_METHOD(control_server_fixture,
                 "control_server_taken_port_is_refused_and_free_after_the_end")
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

// Guards against an answer larger than the reader allows for.
TEST_CASE_METHOD(control_server_fixture, "http_call_answer_above_its_largest_size_is_refused")
{
    REQUIRE_THROWS_AS(make_http_call({"127.0.0.1", server.port(), "/rpc", "12345", 60s, 4}),
                      http_answer_too_large);
}

// Guards against a trail that grows without bound, or whose numbers repeat after entries are
// dropped.
TEST_CASE_METHOD(control_server_fixture,
                 "audit_trail_beyond_its_capacity_drops_the_oldest_and_counts_on")
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
    const auto kept = audit.after(0);
    REQUIRE(kept.size() == 4);
    REQUIRE(kept.front().number == 97);
    REQUIRE(kept.back().number == 100);
    REQUIRE(audit.after(98).size() == 2);
    REQUIRE(audit.after(200).empty());
}

struct metrics_fixture {
    metrics counts;
    rank_name rank{"precious"};
    group_name group{"hotel \"sol\""};

    void record(const kind_name& kind, outcome result, std::chrono::nanoseconds latency)
    {
        counts.record_call({rank, group, kind, result, refusal_reason::none}, latency);
    }
};

// Guards against calls that are lost between threads or counted under another label.
TEST_CASE_METHOD(metrics_fixture, "metrics_calls_of_many_threads_add_up_by_label")
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
    REQUIRE(counts.calls({rank, group, kind, outcome::complete}) == 1980);
    REQUIRE(counts.calls({rank, group, kind, outcome::unknown}) == 20);
    const auto text = counts.text();
    REQUIRE(text.find("trefoil_calls_total{rank=\"precious\",group=\"hotel \\\"sol\\\"\","
                      "kind=\"confirm_order\",outcome=\"complete\",reason=\"none\"} 1980\n") !=
            std::string::npos);
    REQUIRE(
        text.find("trefoil_call_seconds_count{rank=\"precious\",outcome=\"complete\"} 1980\n") !=
        std::string::npos);
}

// Guards against histograms that lose the slowest and the fastest calls.
TEST_CASE_METHOD(metrics_fixture, "metrics_latencies_outside_the_buckets_are_counted")
{
    record(kind_name("k"), outcome::complete, 1ns);
    record(kind_name("k"), outcome::complete, 1h);
    const auto text = counts.text();
    REQUIRE(text.find("le=\"5e-05\"} 1\n") != std::string::npos);
    REQUIRE(text.find("le=\"60\"} 1\n") != std::string::npos);
    REQUIRE(text.find("le=\"+Inf\"} 2\n") != std::string::npos);
}

// Guards against names from callers that fill the memory of a node.
TEST_CASE_METHOD(metrics_fixture, "metrics_series_beyond_the_bound_are_counted_together")
{
    for (std::size_t i = 0; i < metrics::largest_series + 50; ++i) {
        record(kind_name("kind-" + std::to_string(i)), outcome::complete, 1ms);
    }
    const rank_name other_rank("other");
    const group_name other_group("other");
    const kind_name other_kind("other");
    REQUIRE(counts.calls({other_rank, other_group, other_kind}) == 50);
}
