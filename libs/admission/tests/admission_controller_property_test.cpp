#include "admission_fixture.h"

#include "admission/aimd_limit.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace trefoil;
using namespace trefoil::testing;

namespace {

/// Makes random calls to a controller and records violations of its invariants after each call.
struct random_calls : admission_fixture {
    using state = ticket_tracker::state;

    static constexpr std::chrono::milliseconds unlimited_wait = 1h;

    admission_options options = [] {
        admission_options o;
        o.max_wait = *rc::gen::element(o.max_wait, unlimited_wait);
        return o;
    }();
    std::uint32_t slots = *rc::gen::inRange<std::uint32_t>(1, 12);
    admission_controller<aimd_limit> controller{make_policy(slots), 1, options};
    ticket_tracker tracker;
    bool browsing_preempted_precious = false;
    bool started_late = false;
    bool handled_twice = false;
    bool above_limit = false;
    bool above_bound = false;

    bool precious(admission_ticket t) { return controller.policy().at(rank_of(t)).share > 0.0; }
    rank_index rank_of(admission_ticket t)
    {
        return controller.policy().at(tracker.at(t).work.kind).rank;
    }

    bool any_waiting(bool of_precious)
    {
        return std::ranges::any_of(tracker.with_state(state::waiting),
                                   [&](auto t) { return precious(t) == of_precious; });
    }

    /// Whether precious work was evicted during the last call. With an unlimited wait, eviction is
    /// the only cause of this refusal reason.
    bool precious_evicted(const admission_changes& changes)
    {
        return options.max_wait == unlimited_wait &&
               std::ranges::any_of(changes.refused, [&](const refused_ticket& r) {
                   return r.reason == refusal_reason::queue_full && precious(r.ticket);
               });
    }

    void apply(const admission_changes& changes)
    {
        const auto running_before = tracker.with_state(state::running).size();
        for (const auto t : changes.started) {
            handled_twice |= tracker.at(t).now != state::waiting;
            started_late |= now >= tracker.at(t).work.deadline;
            tracker.at(t).now = state::running;
        }
        for (const auto& r : changes.refused) {
            handled_twice |= tracker.at(r.ticket).now != state::waiting;
            tracker.at(r.ticket).now = state::ended;
        }
        const bool browsing_started =
            std::ranges::any_of(changes.started, [&](auto t) { return !precious(t); });
        const bool evicted = precious_evicted(changes);
        browsing_preempted_precious |= browsing_started && (any_waiting(true) || evicted);
        browsing_preempted_precious |= any_waiting(false) && evicted;
        const auto s = controller.snapshot(now);
        const auto running = tracker.with_state(state::running).size();
        handled_twice |= s.in_flight != running;
        above_limit |= running > s.limit && running > running_before;
        above_bound |= tracker.with_state(state::waiting).size() > queue_bound();
    }

    std::size_t queue_bound() const
    {
        return std::max(options.min_queue,
                        static_cast<std::size_t>(slots * options.queue_per_slot));
    }

    void offer()
    {
        const auto work = make_work(*rc::gen::inRange(0U, 6U), *rc::gen::inRange(0U, 3U),
                                    std::chrono::milliseconds(*rc::gen::inRange(-5, 400)),
                                    *rc::gen::inRange(0U, 4U), *rc::gen::inRange(0, 100) / 100.0);
        const auto result = controller.offer(work, now);
        tracker.add(result.ticket, work, now);
        apply(result.changes);
    }

    void end_one(bool cancel)
    {
        const auto candidates = tracker.with_state(
            cancel && *rc::gen::arbitrary<bool>() ? state::waiting : state::running);
        if (candidates.empty()) {
            return;
        }
        const auto t = *rc::gen::elementOf(candidates);
        tracker.at(t).now = state::ended;
        const completion c{std::chrono::milliseconds(*rc::gen::inRange(1, 60)),
                           *rc::gen::element(completion_result::ok, completion_result::shed,
                                             completion_result::failed)};
        apply(cancel ? controller.cancel(t, now) : controller.finish(t, c, now));
    }

    void step()
    {
        switch (*rc::gen::weightedElement<int>({{10, 0}, {5, 1}, {1, 2}, {2, 3}, {1, 4}, {1, 5}})) {
        case 0:
            return offer();
        case 1:
            return end_one(false);
        case 2:
            return end_one(true);
        case 3:
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
            return apply(controller.poll(now));
        case 4:
            slots = *rc::gen::inRange<std::uint32_t>(1, 12);
            return apply(controller.replace_policy(make_policy(slots), now));
        default:
            return apply(controller.start_cold_ramp(now));
        }
    }

    /// Ends all work: running work by completion, waiting work by start or expiry.
    void settle()
    {
        while (!tracker.with_state(state::running).empty()) {
            end_one(false);
        }
        while (!tracker.with_state(state::waiting).empty() && controller.next_wakeup(now)) {
            now = std::max(now + 1ns, *controller.next_wakeup(now));
            apply(controller.poll(now));
            while (!tracker.with_state(state::running).empty()) {
                end_one(false);
            }
        }
    }
};

random_calls run_random_calls()
{
    random_calls run;
    const int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
        run.step();
    }
    run.settle();
    return run;
}

} // namespace

// Guards against browsing work that starts or stays queued while precious work waits or is
// evicted.
TEST_CASE_METHOD(admission_fixture,
                 "admission_controller_random_calls_browsing_never_overtakes_precious_work")
{
    REQUIRE(rc::check([] { RC_ASSERT_FALSE(run_random_calls().browsing_preempted_precious); }));
}

// Guards against work that is forwarded to the upstream after its caller's deadline.
TEST_CASE_METHOD(admission_fixture,
                 "admission_controller_random_calls_no_work_starts_after_its_deadline")
{
    REQUIRE(rc::check([] { RC_ASSERT_FALSE(run_random_calls().started_late); }));
}

// Guards against a ticket that is started or refused twice, or that stays queued forever.
TEST_CASE_METHOD(admission_fixture,
                 "admission_controller_random_calls_each_ticket_ends_exactly_once")
{
    REQUIRE(rc::check([] {
        const auto run = run_random_calls();
        RC_ASSERT_FALSE(run.handled_twice);
        RC_ASSERT(run.tracker.with_state(ticket_tracker::state::waiting).empty());
    }));
}

// Guards against more running work than the limit, and against a queue that exceeds its bound.
TEST_CASE_METHOD(admission_fixture, "admission_controller_random_calls_limit_and_queue_bound_hold")
{
    REQUIRE(rc::check([] {
        const auto run = run_random_calls();
        RC_ASSERT_FALSE(run.above_limit);
        RC_ASSERT_FALSE(run.above_bound);
    }));
}
