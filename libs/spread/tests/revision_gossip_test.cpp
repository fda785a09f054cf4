#include "revision_fleet.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using trefoil::revision_fleet;

namespace {

/// Maximum calls of three watchers in ten seconds: each call takes 1.5 to 3 s, followed by a pause.
constexpr std::uint64_t max_idle_calls = 21;

/// Maximum time until a configuration or the leaving of a target is in force on all nodes; the
/// shortest bound of known deployments.
constexpr auto propagation_bound = 2000ms;

struct revision_gossip_fixture {
    static revision_fleet started(std::size_t nodes, double requests_per_second = 20.0)
    {
        revision_fleet fleet({nodes, 5, requests_per_second, 20261204});
        fleet.run_for(5s);
        return fleet;
    }
};

} // namespace

// Guards against store calls that increase with the number of nodes, and against late changes.
TEST_CASE_METHOD(revision_gossip_fixture,
                 "revision_spread_steady_fleet_few_calls_and_quick_changes")
{
    const auto nodes = GENERATE(std::size_t{30}, std::size_t{300}, std::size_t{2400});
    const double load = nodes == 2400 ? 5.0 : 20.0;
    auto fleet = started(nodes, load);
    const auto calls = fleet.calls();
    const auto messages = fleet.messages();
    fleet.run_for(10s);
    CHECK(fleet.calls() - calls <= max_idle_calls);
    // Besides requests, a node sends two pulls per second, each with an answer, and few other
    // messages.
    const auto requests = static_cast<std::uint64_t>(2.0 * load * 10.0) * nodes;
    CHECK(fleet.messages() - messages - requests <= nodes * 10 * 6);
    for (int i = 0; i < 3; ++i) {
        fleet.publish();
        CHECK(fleet.time_to_all(5s) < 1s);
    }
}

// Guards against late changes, and against store calls by all nodes, while there are no requests
// whose messages would carry state versions.
TEST_CASE_METHOD(revision_gossip_fixture, "revision_spread_no_traffic_few_calls_and_quick_changes")
{
    auto fleet = started(300, 0.0);
    const auto calls = fleet.calls();
    fleet.run_for(10s);
    CHECK(fleet.calls() - calls <= max_idle_calls);
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < propagation_bound);
}

// Guards against a change that reaches no node because all watchers terminate as it is published.
TEST_CASE_METHOD(revision_gossip_fixture, "revision_spread_all_watchers_killed_others_take_over")
{
    auto fleet = started(GENERATE(std::size_t{15}, std::size_t{300}));
    for (const auto i : fleet.watchers()) {
        fleet.kill(i);
    }
    fleet.publish();
    const auto begin = fleet.now();
    CHECK(fleet.time_to_all(5s) < propagation_bound);
    fleet.run_for(5s);
    CHECK(fleet.max_calls_per_second(begin) <= 40);
}

// Guards against missed changes when the store rejects the watchers but serves other nodes.
TEST_CASE_METHOD(revision_gossip_fixture,
                 "revision_spread_watchers_rejected_by_store_others_take_over")
{
    auto fleet = started(300);
    const auto watchers = fleet.watchers();
    for (const auto i : watchers) {
        fleet.set_rejected(i, true);
    }
    fleet.run_for(4s); // Until the open watches of the watchers end.
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < propagation_bound);
}

// Guards against missed changes when the watchers receive every change from the store but are
// partitioned from the other nodes.
TEST_CASE_METHOD(revision_gossip_fixture,
                 "revision_spread_watchers_partitioned_from_nodes_others_take_over")
{
    auto fleet = started(300);
    for (const auto i : fleet.watchers()) {
        fleet.set_isolated(i, true);
    }
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < propagation_bound);
}

// Guards against a node that no other node can reach and that never calls the store itself.
TEST_CASE_METHOD(revision_gossip_fixture, "revision_spread_partitioned_node_calls_the_store_itself")
{
    auto fleet = started(300);
    const auto watchers = fleet.watchers();
    std::size_t isolated = 0;
    while (std::ranges::find(watchers, isolated) != watchers.end()) {
        ++isolated;
    }
    fleet.set_isolated(isolated, true);
    fleet.run_for(3s);
    fleet.publish();
    // One second of contact time-out, one second of takeover window, and one tick.
    CHECK(fleet.time_to_all(5s) < 2200ms);
}

// Guards against calls by all nodes at once when the store becomes available again.
TEST_CASE_METHOD(revision_gossip_fixture,
                 "revision_spread_store_available_again_calls_are_distributed")
{
    auto fleet = started(GENERATE(std::size_t{30}, std::size_t{300}, std::size_t{2400}), 5.0);
    fleet.set_store_up(false);
    const auto begin = fleet.now() + 1s;
    fleet.run_for(9s);
    fleet.set_store_up(true);
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < propagation_bound);
    fleet.run_for(3s);
    // Takeovers are drawn at 20 per second at any fleet size, so that 45 in a second are very
    // unlikely. Each of the three watchers makes up to five calls per second.
    CHECK(fleet.max_calls_per_second(begin) <= 60);
}

// Guards against a fleet that does not recover by itself after all nodes lost power.
TEST_CASE_METHOD(revision_gossip_fixture, "revision_spread_all_nodes_restarted_read_the_state")
{
    auto fleet = started(300);
    const auto calls = fleet.calls();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.start(i);
    }
    CHECK(fleet.time_to_all(5s) < 300ms);
    fleet.run_for(3s);
    CHECK(fleet.calls() - calls <= fleet.size() + max_idle_calls);
}

// Guards against nodes that stay at the state of before when the store returns from an older copy
// with lower revisions, and against a full read by every node.
TEST_CASE_METHOD(revision_gossip_fixture, "revision_spread_store_returns_from_copy_few_full_reads")
{
    const auto nodes = GENERATE(std::size_t{30}, std::size_t{300}, std::size_t{2400});
    auto fleet = started(nodes, 5.0);
    for (int i = 0; i < 60; ++i) {
        fleet.publish();
    }
    fleet.run_for(3s);
    const auto reads = fleet.reads();
    const auto begin = fleet.now();
    fleet.return_from_copy(20);
    CHECK(fleet.time_to_all(5s) < propagation_bound);
    fleet.publish();
    CHECK(fleet.time_to_all(5s) < propagation_bound);
    fleet.run_for(10s);
    // One full read of each watcher at most.
    CHECK(fleet.reads() - reads <= 3);
    CHECK(fleet.max_calls_per_second(begin) <= 60);
}

// Guards against the same if the store is away for a while before its return.
TEST_CASE_METHOD(revision_gossip_fixture,
                 "revision_spread_store_returns_from_copy_after_outage_reads_are_spread")
{
    auto fleet = started(GENERATE(std::size_t{30}, std::size_t{300}, std::size_t{2400}), 5.0);
    for (int i = 0; i < 60; ++i) {
        fleet.publish();
    }
    fleet.run_for(3s);
    fleet.set_store_up(false);
    const auto begin = fleet.now() + 1s;
    fleet.run_for(9s);
    const auto reads = fleet.reads();
    fleet.return_from_copy(20);
    fleet.set_store_up(true);
    CHECK(fleet.time_to_all(5s) < propagation_bound);
    fleet.run_for(3s);
    CHECK(fleet.max_calls_per_second(begin) <= 60);
    CHECK(fleet.reads() - reads <= 60);
}
