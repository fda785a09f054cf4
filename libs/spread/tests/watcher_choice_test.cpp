#include "spread/watcher_choice.h"

#include "spread/invalid_message.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace std::chrono_literals;
using trefoil::availability_zone_name;
using trefoil::gossip_members;
using trefoil::mono_time;
using trefoil::vm_name;

struct watcher_choice_fixture {
    static constexpr mono_time start{100s};
    trefoil::random_source random{1};

    static gossip_members fleet(std::size_t nodes, std::size_t zones)
    {
        gossip_members members;
        for (std::size_t i = 0; i < nodes; ++i) {
            members.push_back({vm_name("vm-" + std::to_string(i)),
                               availability_zone_name("zone-" + std::to_string(i % zones))});
        }
        return members;
    }

    static trefoil::watcher_choice choice_of(const gossip_members& members, bool chosen)
    {
        for (const auto& member : members) {
            trefoil::watcher_choice choice(member, start);
            choice.set_members(members);
            if (choice.is_chosen() == chosen) {
                return choice;
            }
        }
        throw trefoil::invalid_message("no such node in the fleet");
    }
};

// Guards against zones without a watcher, and against every node calling the platform.
TEST_CASE_METHOD(watcher_choice_fixture, "watcher_choice_any_fleet_has_two_watchers_in_each_zone")
{
    REQUIRE(rc::check([] {
        const auto zones = *rc::gen::inRange<std::size_t>(1, 10);
        const auto members = fleet(*rc::gen::inRange<std::size_t>(2 * zones, 200), zones);
        std::size_t chosen = 0;
        for (const auto& member : members) {
            trefoil::watcher_choice choice(member, start);
            choice.set_members(members);
            chosen += choice.is_chosen() ? 1 : 0;
        }
        RC_ASSERT(chosen == 2 * zones);
    }));
}

// Guards against the replacement of watchers other than the one that leaves.
TEST_CASE_METHOD(watcher_choice_fixture,
                 "watcher_choice_when_another_node_leaves_keeps_the_watchers")
{
    REQUIRE(rc::check([] {
        auto members = fleet(*rc::gen::inRange<std::size_t>(3, 100), 1);
        const auto before = chosen_watchers(members, members[0].availability_zone, 2);
        const auto removed_index = *rc::gen::inRange<std::size_t>(0, members.size());
        const auto removed = members[removed_index].name;
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(removed_index));
        const auto after = chosen_watchers(members, members[0].availability_zone, 2);
        for (const auto& name : before) {
            RC_ASSERT(name == removed || std::ranges::find(after, name) != after.end());
        }
    }));
}

// Guards against a fleet without contact to the platform after its watchers fail.
TEST_CASE_METHOD(watcher_choice_fixture,
                 "watcher_choice_after_10_s_without_contact_takes_over_until_contact")
{
    auto choice = choice_of(fleet(2400, 9), false);
    choice.contact_reported(0s, start);
    REQUIRE_FALSE(choice.next_round(start + 9s, random));
    const auto round = choice.next_round(start + 10s, random);
    REQUIRE(round);
    REQUIRE(round->at <= start + 40s);
    REQUIRE_FALSE(round->both);
    choice.contact_reported(2s, start + 20s);
    REQUIRE_FALSE(choice.next_round(start + 20s, random));
}

// Guards against a change that no node reads: once a node that took over has read the list, the
// other nodes stop calling, so the configuration would not be read.
TEST_CASE_METHOD(watcher_choice_fixture,
                 "watcher_choice_after_taking_over_reads_both_values_before_it_stops")
{
    auto choice = choice_of(fleet(24, 3), false);
    REQUIRE_FALSE(choice.next_round(start + 20s, random)->both);
    choice.call_answered(start + 21s);
    REQUIRE(choice.next_round(start + 21s, random)->both);
    choice.call_answered(start + 23s);
    REQUIRE_FALSE(choice.next_round(start + 23s, random));
}

// Guards against synchronized calls and against a back-off above its maximum.
TEST_CASE_METHOD(watcher_choice_fixture,
                 "watcher_choice_failing_calls_back_off_with_jitter_to_30_s")
{
    auto chosen = choice_of(fleet(24, 3), true);
    auto now = start;
    std::chrono::nanoseconds first{};
    std::chrono::nanoseconds sum{};
    for (int i = 0; i < 205; ++i) {
        chosen.call_failed(now, random);
        const auto delay = chosen.next_round(now, random)->at - now;
        first = i == 0 ? delay : first;
        sum += i >= 5 ? delay : 0s;
        REQUIRE(delay <= 45s);
        now += delay;
    }
    REQUIRE(first <= 1500ms);
    // The mean of 200 delays of 30 s, each from 15 to 45 s, is within 3 s of it.
    REQUIRE(sum / 200 > 27s);
    REQUIRE(sum / 200 < 33s);
}

// Guards against a node that never reads a list and therefore knows no peers.
TEST_CASE_METHOD(watcher_choice_fixture,
                 "watcher_choice_without_list_calls_within_its_start_window")
{
    trefoil::watcher_choice choice({vm_name("a"), availability_zone_name("z")}, start);
    const auto round = choice.next_round(start, random);
    REQUIRE(round);
    REQUIRE(round->at < start + 2s);
    REQUIRE_FALSE(choice.contact_age(start));
}

// Guards against a node that can serve no call for 15 to 45 s because its first call failed.
TEST_CASE_METHOD(watcher_choice_fixture,
                 "watcher_choice_without_list_repeats_a_failed_call_within_3_s")
{
    trefoil::watcher_choice choice({vm_name("a"), availability_zone_name("z")}, start);
    choice.call_failed(start, random);
    REQUIRE(choice.next_round(start, random)->at <= start + 3s);
}
