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

enum class excess_work { queues, is_shed };

/// Feeds completions of an upstream with `real` slots that is always loaded up to the limit. Work
/// that exceeds the slots either queues, which increases the latency, or is shed.
template<class Limit>
void load_upstream(Limit& limit, double real, excess_work excess, mono_time now = mono_time{1h})
{
    double shed_remainder = 0.0;
    for (int i = 0; i < 20000; ++i) {
        const double load = std::max(1.0, limit.current() / real);
        shed_remainder += excess == excess_work::is_shed ? 1.0 - 1.0 / load : 0.0;
        const bool shed = shed_remainder >= 1.0;
        shed_remainder -= shed ? 1.0 : 0.0;
        const auto duration = std::chrono::duration_cast<std::chrono::nanoseconds>(
            service_time * (excess == excess_work::queues ? load : 1.0));
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

// Guards against a limit that overloads an upstream with fewer slots than configured, or that
// decreases so far that slots of the upstream stay idle.
TEMPLATE_TEST_CASE("concurrency_limit_smaller_upstream_sheds_limit_falls_to_its_slots", "",
                   aimd_limit, gradient_limit, queue_delay_limit)
{
    TestType limit(configured);
    load_upstream(limit, 20.0, excess_work::is_shed);
    CHECK(limit.current() >= 15);
    CHECK(limit.current() <= 30);
}

// Guards against a limit that stays high when the upstream becomes slower, and against a limit that
// falls below the configured slots because a slow dependency is mistaken for overload.
TEMPLATE_TEST_CASE("concurrency_limit_raised_upstream_slows_limit_falls_to_configured", "",
                   aimd_limit, gradient_limit, queue_delay_limit)
{
    TestType limit(configured);
    load_upstream(limit, 80.0, excess_work::queues);
    REQUIRE(limit.current() > configured);
    load_upstream(limit, 15.0, excess_work::queues, mono_time{2h});
    CHECK(limit.current() >= configured);
    CHECK(limit.current() <= configured + 1);
}

// Guards against a limit that leaves capacity unused if the upstream has more slots than
// configured.
TEMPLATE_TEST_CASE("concurrency_limit_upstream_is_larger_limit_rises", "", aimd_limit,
                   gradient_limit, queue_delay_limit)
{
    TestType limit(configured);
    load_upstream(limit, 60.0, excess_work::queues);
    CHECK(limit.current() >= 54);
}

// Guards against a limit of 0, at which no completion could raise the limit again.
TEMPLATE_TEST_CASE("concurrency_limit_upstream_sheds_everything_limit_stays_positive", "",
                   aimd_limit, gradient_limit, queue_delay_limit)
{
    const auto limit = feed_only<TestType>(completion_result::shed);
    CHECK(limit.current() >= 1);
    CHECK(limit.current() < configured);
}

// Guards against failures without a response that are counted as fast responses.
TEMPLATE_TEST_CASE("concurrency_limit_failed_work_leaves_limit_unchanged", "", aimd_limit,
                   gradient_limit, queue_delay_limit)
{
    CHECK(feed_only<TestType>(completion_result::failed).current() == configured);
}
