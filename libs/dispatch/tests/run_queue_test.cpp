#include "dispatch/run_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

struct queue_fixture {
    mono_time now{1h};
    run_queue queue{1};
    std::uint64_t last_ticket = 0;

    std::uint64_t offer(std::uint32_t rank, bool nested, std::chrono::milliseconds left)
    {
        return offer_call(rank, nested, left, left);
    }

    std::uint64_t offer_call(std::uint32_t rank, bool nested, std::chrono::milliseconds left,
                             std::chrono::milliseconds request_left)
    {
        queue.offer({++last_ticket, 1, rank, nested, now + left, now + request_left}, now);
        return last_ticket;
    }

    std::vector<std::uint64_t> started() { return queue.advance(now).started; }

    /// Ends a request and returns the one that takes its slot.
    std::uint64_t next_after(std::uint64_t ticket)
    {
        queue.finish(ticket, true, now);
        const auto next = started();
        return next.empty() ? 0 : next.front();
    }
};

} // namespace

// Guards against new requests that take the slots that started requests need to finish, and against
// new requests that wait until their deadline behind the calls of others.
TEST_CASE_METHOD(queue_fixture, "run_queue_several_waiting_starts_by_urgency_then_deadline")
{
    const auto running = offer(1, false, 1s);
    REQUIRE(started() == std::vector{running});
    const auto late = offer(1, false, 1500ms);
    const auto nested_later = offer(1, true, 800ms);
    const auto nested = offer(2, true, 700ms);
    const auto urgent = offer(0, false, 2s);
    now += 500ms;
    const auto nested_of_later_request = offer(1, true, 1200ms);
    CHECK(next_after(running) == urgent);
    CHECK(next_after(urgent) == nested);
    CHECK(next_after(nested) == nested_later);
    // `late` has an earlier deadline than the nested call that arrived after it.
    CHECK(next_after(nested_later) == late);
    CHECK(next_after(late) == nested_of_later_request);
}

// Guards against requests that lose their position in the queue with every call. Each call sets a
// new time-out; if calls were ordered by it, no request would finish under overload.
TEST_CASE_METHOD(queue_fixture, "run_queue_next_call_of_older_request_goes_before_newer_request")
{
    const auto running = offer(1, false, 1s);
    REQUIRE(started() == std::vector{running});
    const auto first_call_of_newer = offer_call(1, true, 700ms, 1200ms);
    const auto fourth_call_of_older = offer_call(1, true, 700ms, 800ms);
    CHECK(next_after(running) == fourth_call_of_older);
    CHECK(next_after(fourth_call_of_older) == first_call_of_newer);
}

// Guards against running requests whose caller can no longer receive the response.
TEST_CASE_METHOD(queue_fixture, "run_queue_too_little_time_left_rejects_at_once")
{
    const auto running = offer(1, false, 1s);
    started();
    const auto waiting = offer(1, false, 100ms);
    CHECK(queue.advance(now).refused.empty());
    REQUIRE(queue.next_wakeup().has_value());
    now = *queue.next_wakeup();
    // Rejected at exactly this time, not only after it; otherwise the timer would be set again for
    // the same time without end.
    CHECK(queue.advance(now).refused == std::vector{waiting});
    CHECK_FALSE(queue.next_wakeup().has_value());
    CHECK(next_after(running) == 0);
}

// Guards against a queue that grows without bound with the demand.
TEST_CASE_METHOD(queue_fixture, "run_queue_full_rejects_least_urgent_first")
{
    offer(1, false, 10s);
    started();
    const auto urgent = offer(0, false, 10s);
    std::set<std::uint64_t> refused;
    for (int i = 0; i < 10; ++i) {
        offer(2, false, 10s);
        for (const auto ticket : queue.advance(now).refused) {
            refused.insert(ticket);
        }
    }
    CHECK(refused.size() == 7);
    CHECK_FALSE(refused.contains(urgent));
}

// Guards against leaking slots when requests end, are cancelled or are rejected.
TEST_CASE("run_queue_random_calls_end_each_ticket_once_and_use_all_slots")
{
    const bool holds = rc::check([] {
        mono_time now{1h};
        const auto slots = *rc::gen::inRange(1U, 5U);
        run_queue queue(slots);
        std::set<std::uint64_t> waiting;
        std::set<std::uint64_t> running;
        const auto apply = [&](const run_changes& changes) {
            for (const auto ticket : changes.started) {
                RC_ASSERT(waiting.erase(ticket) == 1);
                running.insert(ticket);
            }
            for (const auto ticket : changes.refused) {
                RC_ASSERT(waiting.erase(ticket) == 1);
            }
            RC_ASSERT(running.size() <= slots);
            RC_ASSERT(running.size() == slots || waiting.empty());
        };
        const auto steps = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 4));
        std::uint64_t ticket = 0;
        for (const auto step : steps) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 20));
            if (step <= 1) {
                ++ticket;
                waiting.insert(ticket);
                const auto left = std::chrono::milliseconds(*rc::gen::inRange(1, 300));
                queue.offer(
                    {ticket, 1, *rc::gen::inRange(0U, 3U), step == 0, now + left, now + left}, now);
            }
            else if (step == 2 && !running.empty()) {
                queue.finish(*running.begin(), true, now);
                running.erase(running.begin());
            }
            else if (step == 3 && !waiting.empty()) {
                RC_ASSERT(queue.remove_waiting(*waiting.begin()));
                waiting.erase(waiting.begin());
            }
            apply(queue.advance(now));
        }
        RC_ASSERT(queue.load().running == running.size());
        RC_ASSERT(queue.load().waiting == waiting.size());
    });
    CHECK(holds);
}
