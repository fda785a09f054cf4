#include "admission_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace trefoil;
using namespace trefoil::testing;

struct admission_controller_fixture : admission_fixture {
    static constexpr std::uint32_t slots = 10;
    admission_controller<static_limit> controller{make_policy(slots), 1};

    offer_result offer(std::uint32_t kind, std::uint32_t group, std::chrono::nanoseconds left = 2s)
    {
        return controller.offer(make_work(kind, group, left), now);
    }
};

// Guards against a policy whose ranks are not sorted by urgency.
TEST_CASE("admission_policy_from_objects_orders_ranks_and_resolves_kinds")
{
    const auto policy = make_policy(7);
    CHECK(policy.slots == 7);
    CHECK(policy.ranks.at(0).name == rank_name("urgent"));
    CHECK(policy.ranks.at(2).share == 0.0);
    const auto kind = policy.find(kind_name("browsing_2"));
    REQUIRE(kind);
    CHECK(policy.at(policy.at(*kind).rank).name == rank_name("browsing"));
    CHECK_FALSE(policy.find(group_name("none")));
}

// Guards against a policy with a zero share, which causes a division by zero, or an unknown rank.
TEST_CASE("admission_policy_from_faulty_objects_throws_its_type")
{
    auto objects = make_objects(1);
    const service_name target("target");
    CHECK_THROWS_AS(make_admission_policy(objects, service_name("none")), invalid_admission_policy);
    objects.groups[0].share = 0.0;
    CHECK_THROWS_AS(make_admission_policy(objects, target), invalid_admission_policy);
    objects = make_objects(1);
    objects.kinds[0].rank = rank_name("none");
    CHECK_THROWS_AS(make_admission_policy(objects, target), invalid_admission_policy);
}

// Guards against running the full limit of requests in an upstream that has just started.
TEST_CASE_METHOD(admission_controller_fixture, "admission_controller_cold_upstream_limit_ramps_up")
{
    controller.start_cold_ramp(now);
    std::size_t started = 0;
    for (int i = 0; i < 10; ++i) {
        started += offer(0, 0, 1h).changes.started.size();
    }
    CHECK(started == 1);
    CHECK(controller.snapshot(now + 2500ms).limit == 5);
    CHECK(controller.snapshot(now + 5s).limit == slots);
}

// Guards against queued work that does not start although the ramp has raised the limit, because no
// wake-up is scheduled and no other call occurs.
TEST_CASE_METHOD(admission_controller_fixture, "admission_controller_cold_ramp_wakes_waiting_work")
{
    controller.start_cold_ramp(now);
    offer(0, 0);
    now += 400ms;
    CHECK(offer(0, 1).changes.started.empty());
    std::size_t started = 0;
    while (started == 0 && controller.next_wakeup(now)) {
        REQUIRE(*controller.next_wakeup(now) > now);
        now = *controller.next_wakeup(now);
        const auto changes = controller.poll(now);
        REQUIRE(changes.refused.empty());
        started += changes.started.size();
    }
    CHECK(started == 1);
}

// Guards against a flow that is refused permanently because of an estimate from a slow period.
TEST_CASE_METHOD(admission_controller_fixture, "admission_controller_slow_flow_is_tried_again")
{
    const auto slow = offer(0, 0);
    now += 5s;
    controller.finish(slow.ticket, {5s, completion_result::ok}, now);
    CHECK(offer(0, 0).changes.started.size() == 1);
    // While the trial request runs, further work is refused, because the estimate still exceeds the
    // deadline.
    const auto beside = offer(0, 0);
    REQUIRE(beside.changes.refused.size() == 1);
    CHECK(beside.changes.refused[0].reason == refusal_reason::cannot_finish);
}

// Guards against synchronized retries of refused callers.
TEST_CASE_METHOD(admission_controller_fixture, "admission_controller_retry_after_is_spread")
{
    std::set<std::chrono::milliseconds> times;
    for (int i = 0; i < 200; ++i) {
        for (const auto& r : offer(0, 0).changes.refused) {
            CHECK(r.retry_after >= 50ms);
            CHECK(r.retry_after <= 3000ms);
            times.insert(r.retry_after);
        }
    }
    CHECK(times.size() >= 30);
}

// Guards against a slot that is freed twice because a ticket is ended twice.
TEST_CASE_METHOD(admission_controller_fixture,
                 "admission_controller_second_end_of_ticket_is_rejected")
{
    const auto work = offer(0, 0);
    controller.finish(work.ticket, {1ms, completion_result::ok}, now);
    CHECK_THROWS_AS(controller.finish(work.ticket, {1ms, completion_result::ok}, now),
                    unknown_ticket);
    controller.cancel(work.ticket, now);
    CHECK(controller.snapshot(now).in_flight == 0);
}

// Guards against counters and work of a removed kind that are attributed to another kind.
TEST_CASE_METHOD(admission_controller_fixture,
                 "admission_controller_new_policy_removed_kind_refused")
{
    for (std::uint32_t i = 0; i < slots; ++i) {
        offer(1, 0);
    }
    const auto removed = offer(0, 0);
    const auto kept = offer(1, 0);
    auto objects = make_objects(slots + 1);
    objects.kinds.erase(objects.kinds.begin());
    const auto changes =
        controller.replace_policy(make_admission_policy(objects, service_name("target")), now);
    REQUIRE(changes.refused.size() == 1);
    CHECK(changes.refused[0].ticket == removed.ticket);
    CHECK(changes.refused[0].reason == refusal_reason::unknown_object);
    CHECK(changes.started == std::vector{kept.ticket});
    const auto s = controller.snapshot(now);
    CHECK(s.in_flight == slots + 1);
    const refusal_count expected{rank_index{0}, group_index{0}, refusal_reason::unknown_object, 1};
    CHECK(s.refusals == std::vector{expected});
}

// Guards against a slot or queue position that stays occupied after its caller has cancelled.
TEST_CASE_METHOD(admission_controller_fixture, "admission_controller_cancelled_work_makes_room")
{
    std::vector<admission_ticket> running;
    for (std::uint32_t i = 0; i < slots; ++i) {
        running.push_back(offer(0, 0).ticket);
    }
    const auto cancelled_item = offer(0, 0);
    const auto waiting_item = offer(0, 0);
    const auto dropped = controller.cancel(cancelled_item.ticket, now);
    CHECK(dropped.started.empty());
    CHECK(dropped.refused.empty());
    CHECK(controller.cancel(running.front(), now).started == std::vector{waiting_item.ticket});
    const auto s = controller.snapshot(now);
    const refusal_count expected{rank_index{0}, group_index{0}, refusal_reason::cancelled, 1};
    CHECK(s.refusals == std::vector{expected});
    CHECK(s.queued_by_rank.at(0) == 0);
    CHECK(controller.admit_fraction(kind_index{0}, group_index{0}) == 1.0);
}
