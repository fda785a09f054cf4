#include "admission_fixture.h"

#include "admission/aimd_limit.h"
#include "admission/gradient_limit.h"
#include "admission/queue_delay_limit.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace trefoil;
using namespace trefoil::testing;

namespace {

constexpr std::uint32_t configured = 40;
constexpr auto service_time = 20ms;

enum class excess { waits, is_shed };

/// Feeds completions of an upstream with `real` slots that is always loaded up to the limit. Work
/// beyond the slots makes the latency grow, or is shed.
template<class Limit>
void load_upstream(Limit& limit, double real, excess beyond, mono_time now = mono_time{1h})
{
    double owed_sheds = 0.0;
    for (int i = 0; i < 20000; ++i) {
        const double load = std::max(1.0, limit.current() / real);
        owed_sheds += beyond == excess::is_shed ? 1.0 - 1.0 / load : 0.0;
        const bool shed = owed_sheds >= 1.0;
        owed_sheds -= shed ? 1.0 : 0.0;
        const auto duration = std::chrono::duration_cast<std::chrono::nanoseconds>(
            service_time * (beyond == excess::waits ? load : 1.0));
        now += std::chrono::microseconds(500);
        limit.observe({now, duration, service_time, limit.current(), true,
                       shed ? completion_result::shed : completion_result::ok});
    }
}

/// Feeds completions that all have the same result.
template<class Limit>
Limit feed_only(completion_result result)
{
    Limit limit(configured);
    mono_time now{1h};
    for (int i = 0; i < 20000; ++i) {
        now += std::chrono::microseconds(500);
        limit.observe({now, service_time, service_time, limit.current(), true, result});
    }
    return limit;
}

} // namespace

// Guards against a limit that leaves an upstream with fewer slots than configured overloaded, or
// that falls so far that real slots stay idle.
TEMPLATE_TEST_CASE("concurrency_limit_smaller_upstream_sheds_limit_falls_to_its_slots", "",
                   aimd_limit, gradient_limit, queue_delay_limit)
{
    TestType limit(configured);
    load_upstream(limit, 20.0, excess::is_shed);
    CHECK(limit.current() >= 15);
    CHECK(limit.current() <= 30);
}

// Guards against a limit that stays raised when the upstream becomes slower, and against one that
// takes a slow dependency for overload and falls below the configured slots.
TEMPLATE_TEST_CASE("concurrency_limit_raised_upstream_slows_limit_falls_to_configured", "",
                   aimd_limit, gradient_limit, queue_delay_limit)
{
    TestType limit(configured);
    load_upstream(limit, 80.0, excess::waits);
    REQUIRE(limit.current() > configured);
    load_upstream(limit, 15.0, excess::waits, mono_time{2h});
    CHECK(limit.current() >= configured);
    CHECK(limit.current() <= configured + 1);
}

// Guards against a limit that wastes the capacity of an upstream larger than configured.
TEMPLATE_TEST_CASE("concurrency_limit_upstream_is_larger_limit_rises", "", aimd_limit,
                   gradient_limit, queue_delay_limit)
{
    TestType limit(configured);
    load_upstream(limit, 60.0, excess::waits);
    CHECK(limit.current() >= 54);
}

// Guards against a target that closes itself: its limit must allow it to find the capacity again.
TEMPLATE_TEST_CASE("concurrency_limit_upstream_sheds_everything_limit_stays_positive", "",
                   aimd_limit, gradient_limit, queue_delay_limit)
{
    const auto limit = feed_only<TestType>(completion_result::shed);
    CHECK(limit.current() >= 1);
    CHECK(limit.current() < configured);
}

// Guards against failures without an answer that are taken for fast answers.
TEMPLATE_TEST_CASE("concurrency_limit_failed_work_leaves_limit_unchanged", "", aimd_limit,
                   gradient_limit, queue_delay_limit)
{
    CHECK(feed_only<TestType>(completion_result::failed).current() == configured);
}
