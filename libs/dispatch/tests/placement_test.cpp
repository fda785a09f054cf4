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

    std::map<std::string, int> chosen(int count, const std::vector<std::string>& tried = {},
                                      const placed_request& request = {})
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            const auto t =
                choice.choose(targets, tried, static_cast<std::uint64_t>(i), now, request);
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
        choice.record_ended(failing, i % 2 == 0, now);
    }
    CHECK(chosen(300)["failing"] == 0);
}

// Guards against a target of the own zone that is never used again after a loss of power: other
// targets get all requests, so that it has no success to report.
TEST_CASE_METHOD(placement_fixture, "placement_target_that_failed_is_used_again_seconds_later")
{
    auto& failed = add("near", "a");
    auto& other = add("far", "b");
    for (int i = 0; i < 40; ++i) {
        choice.record_sent(failed);
        choice.record_ended(failed, true, now);
    }
    CHECK(chosen(100)["near"] == 0);
    now += 8s;
    choice.record_load(failed, {2, 0, 10, 50ms}, now);
    choice.record_load(other, {2, 0, 10, 50ms}, now);
    CHECK(chosen(100)["near"] == 100);
}

// Guards against a target that joins in calm and gets no requests: its load is unknown until it
// answers one, and counts as higher than that of the others.
TEST_CASE_METHOD(placement_fixture, "placement_joined_target_without_load_report_gets_requests")
{
    add("known", "a");
    auto& joined = add("joined", "a");
    joined.load = {};
    joined.load_known_at = mono_time();
    CHECK(chosen(300)["joined"] > 0);
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

namespace {

/// A slow target in the own zone and a fast one in another, both with room.
struct unlike_targets_fixture : placement_fixture {
    static constexpr std::uint32_t route = 7;
    target_state& slow = add("slow", "a");
    target_state& fast = add("fast", "b");

    unlike_targets_fixture()
    {
        choice.record_load(slow, {2, 0, 10, 200ms}, now);
        choice.record_run_time(slow, route, {200ms, 80ms}, now);
        choice.record_run_time(fast, route, {70ms, 30ms}, now);
    }
};

} // namespace

// Guards against urgent requests that miss their latency objective at the only target of the own
// zone while a fast one elsewhere is idle.
TEST_CASE_METHOD(unlike_targets_fixture, "placement_tight_objective_leaves_the_slow_target")
{
    CHECK(chosen(100, {}, {route, 240ms}) == std::map<std::string, int>{{"fast", 100}});
}

// Guards against traffic between zones for requests whose callers would not notice it.
TEST_CASE_METHOD(unlike_targets_fixture, "placement_patient_request_stays_at_the_slow_target")
{
    CHECK(chosen(100, {}, {route, 1500ms}) == std::map<std::string, int>{{"slow", 100}});
}

// Guards against a target that was slow once and is never used again.
TEST_CASE_METHOD(unlike_targets_fixture, "placement_old_run_time_no_longer_counts")
{
    now += 20s;
    choice.record_load(slow, {2, 0, 10, 50ms}, now);
    choice.record_load(fast, {2, 0, 10, 50ms}, now);
    CHECK(chosen(100, {}, {route, 240ms}) == std::map<std::string, int>{{"slow", 100}});
}

// Guards against a long queue in the own zone beside a short one elsewhere, both with all slots
// occupied, as in a burst after half of the targets have left.
TEST_CASE_METHOD(placement_fixture, "placement_overload_uses_the_shorter_queue_of_another_zone")
{
    choice.record_load(add("near", "a"), {10, 15, 10, 40ms}, now);
    choice.record_load(add("far", "b"), {10, 6, 10, 40ms}, now);
    CHECK(chosen(100) == std::map<std::string, int>{{"far", 100}});
}
