#include "admission_fixture.h"

#include "admission/fair_queue.h"

#include <catch2/catch.hpp>

using namespace trefoil;
using namespace trefoil::testing;

struct fair_queue_fixture : admission_fixture {
    static constexpr std::size_t bound = 4;
    flow_costs costs{6, 3, 20ms};
    fair_queue queue{make_policy(2), bound, 500ms};
    std::uint64_t last_ticket = 0;

    admission_ticket push(const work_item& work)
    {
        const admission_ticket ticket{++last_ticket};
        queue.push({ticket, work, work.deadline, refusal_reason::deadline_passed});
        return ticket;
    }
    admission_ticket next() { return queue.pop_next(now, costs).value().ticket; }
    admission_ticket victim() { return queue.pop_victim(now, costs).value().ticket; }
};

// Guards against work deep in a call chain that expires while new work of the same flow starts.
TEST_CASE_METHOD(fair_queue_fixture, "fair_queue_deeper_work_of_a_flow_starts_first")
{
    const auto shallow = push(make_work(0, 0));
    const auto deep = push(make_work(0, 0, 2s, 2));
    CHECK(next() == deep);
    CHECK(next() == shallow);
}

// Guards against hops that refuse different requests of a flow, and against eviction of deep work
// before shallow work.
TEST_CASE_METHOD(fair_queue_fixture, "fair_queue_victim_is_shallowest_with_highest_admit_point")
{
    const auto deep = push(make_work(0, 0, 2s, 1, 0.99));
    const auto high = push(make_work(0, 0, 2s, 0, 0.9));
    const auto low = push(make_work(0, 0, 2s, 0, 0.1));
    CHECK(victim() == high);
    CHECK(victim() == low);
    CHECK(victim() == deep);
}

// Guards against precious work that is evicted, or served later, because of browsing work.
TEST_CASE_METHOD(fair_queue_fixture,
                 "fair_queue_waiting_browsing_is_displaced_first_and_served_last")
{
    const auto browsing = push(make_work(4, 0, 2s, 3));
    const auto normal = push(make_work(2, 0));
    const auto other_browsing = push(make_work(5, 1));
    CHECK(next() == normal);
    push(make_work(0, 0));
    push(make_work(2, 0));
    const auto first = victim();
    const auto second = victim();
    CHECK((first == browsing || first == other_browsing));
    CHECK((second == browsing || second == other_browsing));
}

// Guards against a service order that ignores urgency among ranks within their shares.
TEST_CASE_METHOD(fair_queue_fixture, "fair_queue_ranks_below_their_share_are_served_by_order")
{
    const auto normal = push(make_work(2, 0));
    const auto urgent = push(make_work(0, 0));
    CHECK(next() == urgent);
    CHECK(next() == normal);
}

// Guards against an urgent rank that starves the others when all ranks demand more than their
// share.
TEST_CASE_METHOD(fair_queue_fixture, "fair_queue_two_full_ranks_share_two_to_one")
{
    std::size_t urgent = 0;
    for (int i = 0; i < 300; ++i) {
        push(make_work(0, 0));
        push(make_work(2, 0));
    }
    for (int i = 0; i < 300; ++i) {
        const auto item = queue.pop_next(now, costs);
        urgent += item->work.kind.value < 2 ? 1U : 0U;
    }
    CHECK(urgent >= 199);
    CHECK(urgent <= 201);
}

// Guards against alternating service of ranks while the urgent rank is below its share.
TEST_CASE_METHOD(fair_queue_fixture, "fair_queue_urgent_rank_uses_its_whole_share_before_the_next")
{
    auto policy = make_policy(2);
    // Three ranks of equal share. The last one has used all the capacity so far.
    for (auto& r : policy.ranks) {
        r.share = 1.0;
    }
    queue = fair_queue(policy, bound, 500ms);
    for (int i = 0; i < 9; ++i) {
        push(make_work(4, 0));
        next();
    }
    const auto normal = push(make_work(2, 0));
    const std::vector urgent{push(make_work(0, 0)), push(make_work(0, 0)), push(make_work(0, 0))};
    CHECK(std::vector{next(), next(), next()} == urgent);
    CHECK(next() == normal);
}
