#include "gossip_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace std::chrono_literals;
using trefoil::gossip_model;
using trefoil::model_options;
using trefoil::platform_condition;

struct gossip_model_fixture {
    /// Design page, section 1.7: a change is in force on all nodes within 11 s.
    static constexpr auto bound = 11s;
    /// Calls per second; design page, section 5.5.
    static constexpr std::uint64_t max_platform_rate = 200;

    /// A fleet of 12 to 120 nodes in 2 to 4 zones with up to 10% message loss, after its cold
    /// start.
    static gossip_model settled_fleet()
    {
        model_options options;
        options.nodes = *rc::gen::inRange<std::size_t>(12, 121);
        options.zones = *rc::gen::inRange<std::size_t>(2, 5);
        options.loss = *rc::gen::inRange(0, 11) / 100.0;
        options.max_delay = *rc::gen::inRange(5, 101) * 1ms;
        options.seed = *rc::gen::arbitrary<std::uint64_t>();
        gossip_model model(options);
        model.run_for(25s);
        RC_ASSERT(model.count_without(1) == 0U);
        return model;
    }

    static std::uint64_t peak(const std::vector<std::uint64_t>& calls, std::size_t first)
    {
        return *std::max_element(calls.begin() + static_cast<std::ptrdiff_t>(first), calls.end());
    }
};

// Guards against a change that reaches some nodes too late when messages are lost or delayed and
// only the chosen watchers can reach the platform (R8).
TEST_CASE_METHOD(gossip_model_fixture, "fleet_with_loss_and_delay_has_a_change_within_the_bound")
{
    REQUIRE(rc::check([] {
        auto model = settled_fleet();
        model.restrict_platform_to_watchers(true);
        model.publish_config(2);
        model.run_for(bound);
        RC_ASSERT(model.count_without(2) == 0U);
        RC_ASSERT(!model.has_reverted());
    }));
}

// Guards against nodes that stay outdated after a partition because they do not pull again.
TEST_CASE_METHOD(gossip_model_fixture,
                 "fleet_after_a_partition_heals_has_the_change_within_the_bound")
{
    REQUIRE(rc::check([] {
        auto model = settled_fleet();
        const auto parts = *rc::gen::inRange<std::size_t>(2, 4);
        model.partition([&](std::size_t node) { return node * 7 / 3 % parts; });
        model.run_for(*rc::gen::inRange(5, 60) * 1s);
        model.publish_config(2);
        model.run_for(bound);
        RC_ASSERT(model.count_without(2) > 0U);
        model.heal();
        model.run_for(bound);
        RC_ASSERT(model.count_without(2) == 0U);
        RC_ASSERT(!model.has_reverted());
    }));
}

// Guards against a restarted node that accepts an older version from a stale platform (R8).
TEST_CASE_METHOD(gossip_model_fixture, "fleet_with_restarts_against_a_stale_platform_never_reverts")
{
    REQUIRE(rc::check([] {
        auto model = settled_fleet();
        model.publish_config(2);
        model.run_for(bound);
        model.publish_config(1);
        for (int i = 0; i < 6; ++i) {
            const auto restarted = *rc::gen::inRange<std::size_t>(0, model.size());
            const auto paused = (restarted + 1) % model.size();
            model.pause(paused);
            model.restart(restarted);
            model.run_for(*rc::gen::inRange(0, 8000) * 1ms);
            model.resume(paused);
        }
        model.run_for(bound);
        RC_ASSERT(!model.has_reverted());
        RC_ASSERT(model.count_without(2) == 0U);
    }));
}

// Guards against a resumed node that reintroduces an older version or misses a newer one.
TEST_CASE_METHOD(gossip_model_fixture,
                 "fleet_with_paused_nodes_has_the_newest_change_after_they_resume")
{
    REQUIRE(rc::check([] {
        auto model = settled_fleet();
        const auto paused = *rc::gen::container<std::vector<std::size_t>>(
            5, rc::gen::inRange<std::size_t>(0, model.size()));
        for (const auto node : paused) {
            model.pause(node);
        }
        for (std::uint64_t version = 2; version <= 4; ++version) {
            model.publish_config(version);
            model.run_for(*rc::gen::inRange(100, 9000) * 1ms);
        }
        for (const auto node : paused) {
            model.resume(node);
        }
        model.run_for(bound);
        RC_ASSERT(model.count_without(4) == 0U);
        RC_ASSERT(!model.has_reverted());
    }));
}

// Guards against overloading the platform with calls of all nodes during or after an outage.
TEST_CASE_METHOD(gossip_model_fixture,
                 "fleet_of_2400_in_an_outage_calls_the_platform_below_its_share")
{
    model_options options;
    options.nodes = 2400;
    options.zones = 9;
    gossip_model model(options);
    model.run_for(30s);
    const auto outage = model.platform_calls().size();
    model.set_platform(platform_condition::down);
    model.run_for(90s);
    // All nodes have detected the outage; otherwise the check of the rate below would be void.
    REQUIRE(model.count_without_contact(10s) == 2400);
    model.set_platform(platform_condition::up);
    model.publish_config(2);
    model.run_for(30s);
    REQUIRE(model.count_without(2) == 0);
    REQUIRE(peak(model.platform_calls(), outage) < max_platform_rate);
}

// Guards against an undetected outage: the reported age of the last contact would decrease by the
// network delay at every hop.
TEST_CASE_METHOD(gossip_model_fixture,
                 "fleet_in_an_outage_never_believes_in_a_contact_after_the_last_one")
{
    REQUIRE(rc::check([] {
        auto model = settled_fleet();
        model.set_platform(platform_condition::down);
        model.run_for(40s);
        RC_ASSERT(!model.has_false_contact());
        RC_ASSERT(model.count_without_contact(10s) == model.size());
    }));
}
