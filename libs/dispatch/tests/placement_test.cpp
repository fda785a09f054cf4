#include "dispatch/placement.h"

#include <catch2/catch.hpp>

#include <map>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

struct placement_fixture {
    mono_time now{1h};
    placement choice{{availability_zone_name("a"), "10.0.0.1"}};
    std::vector<std::shared_ptr<target_state>> targets;

    target_state& add(const std::string& id, const std::string& zone)
    {
        auto t = std::make_shared<target_state>();
        t->entry.id.id = id;
        t->entry.zone = availability_zone_name(zone);
        t->entry.address = "10.0.1." + std::to_string(targets.size());
        t->entry.slots = 10;
        choice.record_load(*t, {2, 0, 10, 50ms}, now);
        targets.push_back(t);
        return *t;
    }

    std::map<std::string, int> chosen(int count, const std::vector<std::string>& tried = {})
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            const auto t = choice.choose(targets, tried, static_cast<std::uint64_t>(i), now);
            ++counts[t ? t->entry.id.id : "none"];
        }
        return counts;
    }
};

} // namespace

// Guards against traffic between availability zones without a benefit.
TEST_CASE_METHOD(placement_fixture, "placement_own_zone_has_room_stays_in_it")
{
    add("near", "a");
    add("far", "b");
    CHECK(chosen(100) == std::map<std::string, int>{{"near", 100}});
}

// Guards against queues in the own zone while other zones are idle, when demand shifts to one zone.
TEST_CASE_METHOD(placement_fixture, "placement_own_zone_full_goes_to_other_zone")
{
    choice.record_load(add("near", "a"), {10, 20, 10, 50ms}, now);
    add("far", "b");
    CHECK(chosen(100) == std::map<std::string, int>{{"far", 100}});
}

// Guards against a slow target that gets as many requests as the others.
TEST_CASE_METHOD(placement_fixture, "placement_slow_target_gets_less_than_others")
{
    choice.record_load(add("slow", "a"), {2, 0, 10, 500ms}, now);
    add("second", "a");
    add("third", "a");
    CHECK(chosen(300)["slow"] == 0);
}

// Guards against a target that fails requests quickly and therefore appears to be idle.
TEST_CASE_METHOD(placement_fixture, "placement_failing_target_gets_less_than_others")
{
    auto& failing = add("failing", "a");
    add("second", "a");
    add("third", "a");
    for (int i = 0; i < 20; ++i) {
        choice.record_sent(failing);
        choice.record_ended(failing, i % 2 == 0);
    }
    CHECK(chosen(300)["failing"] == 0);
}

// Guards against sending a request to a leaving target, or again to a target that was tried.
TEST_CASE_METHOD(placement_fixture, "placement_leaving_or_tried_target_is_never_chosen")
{
    add("leaving", "a").entry.leaving = true;
    add("tried", "a");
    CHECK(chosen(50, {"tried"}) == std::map<std::string, int>{{"none", 50}});
}

// Guards against sending requests repeatedly to a VM that has disappeared.
TEST_CASE_METHOD(placement_fixture, "placement_unreachable_target_is_suspended_longer_each_time")
{
    auto& unreachable = add("unreachable", "a");
    add("far", "b");
    choice.record_unreachable(unreachable, now);
    const auto first = unreachable.suspended_until - now;
    CHECK(chosen(50) == std::map<std::string, int>{{"far", 50}});
    now = unreachable.suspended_until;
    CHECK(chosen(50) == std::map<std::string, int>{{"unreachable", 50}});
    choice.record_unreachable(unreachable, now);
    CHECK(unreachable.suspended_until - now == 2 * first);
    choice.record_reached(unreachable);
    CHECK(chosen(50) == std::map<std::string, int>{{"unreachable", 50}});
}

// Guards against a total outage because every target has been unreachable once.
TEST_CASE_METHOD(placement_fixture, "placement_all_targets_suspended_still_chooses_one")
{
    choice.record_unreachable(add("only", "a"), now);
    CHECK(chosen(10) == std::map<std::string, int>{{"only", 10}});
}
