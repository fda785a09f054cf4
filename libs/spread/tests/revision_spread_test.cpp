#include "revision_fleet.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using trefoil::revision_fleet;

namespace {

/// Calls of three watchers in ten seconds: each a call in 1.5 to 3 s and its pause.
constexpr std::uint64_t calm_calls = 21;

/// Least time in which a configuration or the leaving of a target must be in force everywhere.
constexpr auto shortest_bound = 2000ms;

struct revision_spread_fixture {
    static revision_fleet started(std::size_t nodes, double requests_per_second = 20.0)
    {
        revision_fleet fleet({nodes, 5, requests_per_second, 20261204});
        fleet.run_for(5s);
        return fleet;
    }
};

} // namespace

// Guards against calls to the store that grow with the fleet, and against changes that come late.
TEST_CASE_METHOD(revision_spread_fixture, "revision_spread_calm_fleet_few_calls_and_quick_changes")
{
    const auto nodes = GENERATE(std::size_t{30}, std::size_t{300}, std::size_t{2400});
    const double load = nodes == 2400 ? 5.0 : 20.0;
    auto fleet = started(nodes, load);
    const auto calls = fleet.calls();
    const auto messages = fleet.messages();
    fleet.run_for(10s);
    CHECK(fleet.calls() - calls <= calm_calls);
    // Besides requests, a node sends two pulls a second, each with an answer, and little else.
    const auto requests = static_cast<std::uint64_t>(2.0 * load * 10.0) * nodes;
    CHECK(fleet.messages() - messages - requests <= nodes * 10 * 6);
    for (int i = 0; i < 3; ++i) {
        fleet.publish();
        CHECK(fleet.time_to_all(5s) < 1s);
    }
}

// Guards against nodes that learn late, or all call, before there is traffic.
TEST_CASE_METHOD(revision_spread_fixture, "revision_spread_no_traffic_few_calls_and_quick_changes")
{
    auto fleet = started(300, 0.0);
    const auto calls = fleet.calls();
    fleet.run_for(10s);
    CHECK(fleet.calls() - calls <= calm_calls);
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < shortest_bound);
}

// Guards against a change that reaches nobody because those who watch die as it is made.
TEST_CASE_METHOD(revision_spread_fixture, "revision_spread_all_watchers_killed_others_take_over")
{
    auto fleet = started(GENERATE(std::size_t{15}, std::size_t{300}));
    for (const auto i : fleet.watchers()) {
        fleet.kill(i);
    }
    fleet.publish();
    const auto begin = fleet.now();
    CHECK(fleet.time_to_all(5s) < shortest_bound);
    fleet.run_for(5s);
    CHECK(fleet.most_calls_in_a_second(begin) <= 40);
}

// Guards against watchers that the store turns away while it serves the others.
TEST_CASE_METHOD(revision_spread_fixture, "revision_spread_watchers_refused_others_take_over")
{
    auto fleet = started(300);
    const auto watchers = fleet.watchers();
    for (const auto i : watchers) {
        fleet.refuse(i, true);
    }
    fleet.run_for(4s); // Their open watches end.
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < shortest_bound);
}

// Guards against watchers that are cut off from the nodes and see every change.
TEST_CASE_METHOD(revision_spread_fixture,
                 "revision_spread_watchers_cut_from_nodes_others_take_over")
{
    auto fleet = started(300);
    for (const auto i : fleet.watchers()) {
        fleet.cut_from_nodes(i, true);
    }
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < shortest_bound);
}

// Guards against a node that nobody reaches and that waits for news for ever.
TEST_CASE_METHOD(revision_spread_fixture, "revision_spread_node_cut_from_nodes_reads_for_itself")
{
    auto fleet = started(300);
    const auto watchers = fleet.watchers();
    std::size_t lonely = 0;
    while (std::ranges::find(watchers, lonely) != watchers.end()) {
        ++lonely;
    }
    fleet.cut_from_nodes(lonely, true);
    fleet.run_for(3s);
    fleet.publish();
    // A second of silence, a second of the window, a tick.
    CHECK(fleet.time_to_all(5s) < 2200ms);
}

// Guards against a store that returns and is called by the whole fleet at once.
TEST_CASE_METHOD(revision_spread_fixture, "revision_spread_store_returns_calls_stay_spread")
{
    auto fleet = started(GENERATE(std::size_t{30}, std::size_t{300}, std::size_t{2400}), 5.0);
    fleet.set_store_up(false);
    const auto begin = fleet.now() + 1s;
    fleet.run_for(9s);
    fleet.set_store_up(true);
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < shortest_bound);
    fleet.run_for(3s);
    // Takeovers are drawn at 20 a second at any size, so that 45 hardly occur; three watchers make
    // up to five calls a second each.
    CHECK(fleet.most_calls_in_a_second(begin) <= 60);
}

// Guards against a fleet that has lost all power and does not come back by itself.
TEST_CASE_METHOD(revision_spread_fixture, "revision_spread_all_nodes_restart_know_the_state")
{
    auto fleet = started(300);
    const auto calls = fleet.calls();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.start(i);
    }
    CHECK(fleet.time_to_all(5s) < 300ms);
    fleet.run_for(3s);
    CHECK(fleet.calls() - calls <= fleet.size() + calm_calls);
}
