#include "spread/peer_picker.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using trefoil::availability_zone_name;
using trefoil::vm_name;

struct peer_picker_fixture {
    static trefoil::shared_members fleet(std::size_t nodes, std::size_t zones)
    {
        trefoil::gossip_members members;
        for (std::size_t i = 0; i < nodes; ++i) {
            members.push_back({vm_name("vm-" + std::to_string(i)),
                               availability_zone_name("zone-" + std::to_string(i % zones))});
        }
        return std::make_shared<const trefoil::gossip_members>(std::move(members));
    }

    static std::size_t zone_of(const vm_name& name, std::size_t zones)
    {
        return std::stoul(name.str().substr(3)) % zones;
    }
};

// Guards against pushes to the node itself, twice to the same peer, or to one zone only.
TEST_CASE_METHOD(peer_picker_fixture,
                 "peer_picker_push_targets_are_distinct_peers_of_distinct_zones")
{
    REQUIRE(rc::check([] {
        const auto zones = *rc::gen::inRange<std::size_t>(1, 6);
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 40);
        trefoil::random_source random(*rc::gen::arbitrary<std::uint64_t>());
        trefoil::peer_picker picker(vm_name("vm-0"));
        picker.set_members(fleet(nodes, zones));
        const auto targets = picker.push_targets(random);
        const std::set<vm_name> distinct(targets.begin(), targets.end());
        std::set<std::size_t> hit;
        std::set<std::size_t> present;
        for (const auto& name : targets) {
            hit.insert(zone_of(name, zones));
        }
        for (std::size_t i = 1; i < nodes; ++i) {
            present.insert(i % zones);
        }
        RC_ASSERT(distinct.size() == std::min<std::size_t>(3, nodes - 1));
        RC_ASSERT(!distinct.contains(vm_name("vm-0")));
        RC_ASSERT(hit.size() == std::min<std::size_t>(3, present.size()));
    }));
}

// Guards against peers that are never selected, and against consecutive pulls from one zone.
TEST_CASE_METHOD(peer_picker_fixture, "peer_picker_pull_targets_reach_every_peer_and_change_zone")
{
    trefoil::random_source random(1);
    trefoil::peer_picker picker(vm_name("vm-0"));
    REQUIRE_FALSE(picker.pull_target(random));
    picker.set_members(fleet(30, 3));
    std::map<vm_name, int> pulls;
    std::size_t last_zone = 99;
    for (int i = 0; i < 1000; ++i) {
        const auto target = picker.pull_target(random);
        REQUIRE(target);
        REQUIRE(zone_of(*target, 3) != last_zone);
        last_zone = zone_of(*target, 3);
        ++pulls[*target];
    }
    REQUIRE(pulls.size() == 29);
    REQUIRE_FALSE(pulls.contains(vm_name("vm-0")));
}
