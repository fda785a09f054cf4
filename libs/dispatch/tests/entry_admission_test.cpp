#include "dispatch/admit_level.h"
#include "dispatch/call_graph.h"
#include "dispatch/entry_admission.h"
#include "dispatch/retry_rule.h"
#include "dispatch/transit_delay.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

struct entry_admission_fixture {
    entry_admission admission;

    int admitted(double level, std::uint32_t rank)
    {
        int count = 0;
        for (std::uint64_t i = 0; i < 1000; ++i) {
            count += admission.decide({1, rank}, level, i).admitted ? 1 : 0;
        }
        return count;
    }
};

struct retry_fixture {
    route r;
    retry_limiter limiter{{.ratio = 0.1, .leaf_share = 1.0}};
    mono_time now{1h};

    retry_fixture()
    {
        r.idempotent = true;
        r.max_attempts = 2;
        limiter.record_caller(false);
    }

    bool may_retry(call_outcome outcome, const send_history& history)
    {
        return trefoil::may_retry(r, outcome, history, limiter, 0.0, now);
    }
};

} // namespace

// Guards against urgent requests being rejected as often as others.
TEST_CASE_METHOD(entry_admission_fixture,
                 "entry_admission_lower_level_refuses_less_urgent_more_often")
{
    CHECK(admitted(1.0, 0) == 1000);
    CHECK(admitted(1.0, 3) == 1000);
    for (const auto level : {0.8, 0.4, 0.1}) {
        CHECK(admitted(level, 0) > admitted(level, 1));
        CHECK(admitted(level, 1) >= admitted(level, 2));
        CHECK(admitted(level, 3) > 0);
    }
}

// Guards against admission in bursts, between which slots are idle.
TEST_CASE_METHOD(entry_admission_fixture, "entry_admission_low_level_admits_evenly")
{
    int since_admitted = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const bool admitted = admission.decide({1, 1}, 0.1, i).admitted;
        ++since_admitted;
        if (admitted && i >= 10) {
            CHECK(since_admitted >= 9);
        }
        CHECK(since_admitted <= 11);
        since_admitted = admitted ? 0 : since_admitted;
    }
}

// Guards against callers of a long overload that return as told and are admitted, but answered too
// late for their latency objective.
TEST_CASE_METHOD(entry_admission_fixture, "entry_admission_return_leaves_time_for_the_objective")
{
    constexpr auto objective = 1500ms;
    for (int i = 0; i < 100; ++i) {
        admission.record_answered(1, 500ms);
    }
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const auto returned = admission.retry_after({1, 1, objective}, 0.05, i);
        CHECK(returned + 500ms <= objective);
        CHECK(returned >= 300ms);
    }
}

// Guards against callers that return at once, because the objective cannot be met any more.
TEST_CASE_METHOD(entry_admission_fixture, "entry_admission_missed_objective_spreads_the_returns")
{
    for (int i = 0; i < 100; ++i) {
        admission.record_answered(1, 500ms);
    }
    for (std::uint64_t i = 0; i < 1000; ++i) {
        CHECK(admission.retry_after({1, 1, 250ms}, 0.05, i) == admission.retry_after({}, 0.05, i));
    }
}

// Guards against nodes that admit and reject in lockstep.
TEST_CASE("entry_admission_several_nodes_admit_at_different_times")
{
    std::set<std::uint64_t> first_admitted;
    for (std::uint64_t node = 0; node < 100; ++node) {
        entry_admission admission;
        std::uint64_t requests = 1;
        while (!admission.decide({1, 1}, 0.1, node).admitted) {
            ++requests;
        }
        first_admitted.insert(requests);
    }
    CHECK(first_admitted.size() >= 10);
}

// Guards against callers of one burst that all retry at the same time.
TEST_CASE_METHOD(entry_admission_fixture,
                 "entry_admission_rejected_callers_get_different_retry_times")
{
    std::set<std::chrono::milliseconds> retry_times;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        retry_times.insert(admission.retry_after({}, 0.5, i));
    }
    CHECK(*retry_times.begin() > 0ms);
    CHECK(retry_times.size() > 300);
    CHECK(admission.retry_after({}, 0.1, 1) > admission.retry_after({}, 0.9, 1));
}

// Guards against running a request twice: without a response it is unknown whether the request ran.
TEST_CASE_METHOD(retry_fixture, "retry_rule_request_without_response_is_retried_only_if_idempotent")
{
    CHECK(may_retry(call_outcome::no_response, {1, 0}));
    r.idempotent = false;
    limiter = retry_limiter();
    CHECK_FALSE(may_retry(call_outcome::no_response, {1, 0}));
    CHECK(may_retry(call_outcome::not_run, {1, 0}));
    CHECK_FALSE(may_retry(call_outcome::answered, {1, 0}));
}

// Guards against retries that keep an overloaded service overloaded.
TEST_CASE_METHOD(retry_fixture, "retry_rule_retries_stay_within_budget_and_attempts")
{
    CHECK_FALSE(may_retry(call_outcome::no_response, {2, 0}));
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        limiter.record_request(now);
        retries += may_retry(call_outcome::no_response, {1, 0}) ? 1 : 0;
        now += 1ms;
    }
    CHECK(retries > 0);
    CHECK(retries <= 101);
    CHECK(may_retry(call_outcome::unreachable, {0, 1}));
    CHECK_FALSE(may_retry(call_outcome::rejected, {0, max_unexecuted_attempts + 1}));
}

// Guards against limiting routes that never reach the overloaded service.
TEST_CASE("call_graph_call_is_recorded_for_its_route_only_and_expires")
{
    call_graph graph;
    const mono_time now{1h};
    const called_route child{7, service_name("stock")};
    graph.record(1, child, now);
    CHECK(graph.children(1, now) == std::vector{child});
    CHECK(graph.children(2, now).empty());
    CHECK(graph.children(1, now + 1h).empty());
}

// Guards against running requests that a stalled link delivered after their callers disconnected.
TEST_CASE("transit_delay_delayed_message_delay_is_independent_of_clock_offset")
{
    transit_delay delay;
    CHECK(delay.observe(1000, 50) == 0ms);
    CHECK(delay.observe(2000, 1055) == 5ms);
    CHECK(delay.observe(2100, 4150) == 3000ms);
    CHECK(delay.observe(5000, 4045) == 0ms);
    CHECK(delay.observe(5100, 4150) == 5ms);
}
