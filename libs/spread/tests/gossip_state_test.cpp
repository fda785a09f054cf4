#include "spread/gossip_state.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace std::chrono_literals;
using namespace trefoil;

struct gossip_state_fixture {
    static constexpr mono_time start{100s};
    random_source random{1};
    gossip_state state{{vm_name("vm-0"), availability_zone_name("zone-0")}, start};

    gossip_state_fixture()
    {
        gossip_members members;
        for (int i = 0; i < 30; ++i) {
            members.push_back({vm_name("vm-" + std::to_string(i)),
                               availability_zone_name("zone-" + std::to_string(i % 3))});
        }
        state.set_members(std::make_shared<const gossip_members>(std::move(members)));
    }

    version_result offer(std::uint64_t version)
    {
        return state.offer_config({version}, {version}, {version}, version_source::peer, start);
    }
};

// Guards against changes that propagate by pulls only, which takes one second per hop.
TEST_CASE_METHOD(gossip_state_fixture, "spread_state_accepted_change_is_pushed_once_to_three_peers")
{
    REQUIRE(state.take_push_targets(random).empty());
    REQUIRE(offer(2) == version_result::accepted);
    const auto targets = state.take_push_targets(random);
    REQUIRE(std::set<vm_name>(targets.begin(), targets.end()).size() == 3);
    REQUIRE(state.take_push_targets(random).empty());
    REQUIRE(offer(1) == version_result::older);
    REQUIRE(state.take_push_targets(random).empty());
    state.request_push();
    REQUIRE(state.take_push_targets(random).size() == 3);
}

// Guards against a restarted node that accepts the version of a stale platform because a single
// peer did not answer.
TEST_CASE_METHOD(gossip_state_fixture,
                 "spread_state_asks_several_peers_until_it_has_versions_then_one")
{
    REQUIRE(state.pull_targets(random).size() == 3);
    REQUIRE(offer(2) == version_result::accepted);
    state.offer_list({1}, {1}, {1}, version_source::peer, start);
    REQUIRE(state.pull_targets(random).size() == 1);
    REQUIRE(state.pull_interval(start) == 1s);
}

// Guards against fetches from peers that do not have the newest version.
TEST_CASE_METHOD(gossip_state_fixture,
                 "spread_state_fetches_only_from_a_peer_with_the_newest_version")
{
    REQUIRE(offer(2) == version_result::accepted);
    exchange_message from_peer{.config = {4}, .config_digest = {4}};
    REQUIRE(state.request_received(from_peer, start).config);
    from_peer.config = {3};
    REQUIRE_FALSE(state.request_received(from_peer, start).config);
    from_peer.config = {2};
    REQUIRE_FALSE(state.request_received(from_peer, start).config);
}
