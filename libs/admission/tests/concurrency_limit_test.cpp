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

/// Feeds completions of an upstream with `real` slots that is always loaded up to the limit, so
/// that its latency grows by the factor of limit to slots.
template<class Limit>
Limit load_upstream(double real, completion_result result = completion_result::ok)
{
    Limit limit(configured);
    mono_time now{1h};
    for (int i = 0; i < 20000; ++i) {
        const double stretch = std::max(1.0, limit.current() / real);
        now += std::chrono::microseconds(500);
        limit.observe({now,
                       std::chrono::duration_cast<std::chrono::nanoseconds>(service_time * stretch),
                       service_time, limit.current(), true, result});
    }
    return limit;
}

} // namespace

// Guards against a limit that leaves an upstream with fewer slots than configured overloaded.
TEMPLATE_TEST_CASE("concurrency_limit_upstream_is_smaller_limit_falls", "", aimd_limit,
                   gradient_limit, queue_delay_limit)
{
    const auto limit = load_upstream<TestType>(15.0);
    CHECK(limit.current() < configured);
    // Fewer than the real slots would waste capacity.
    CHECK(limit.current() >= 15);
}

// Guards against a limit that wastes the capacity of an upstream larger than configured.
TEMPLATE_TEST_CASE("concurrency_limit_upstream_is_larger_limit_rises", "", aimd_limit,
                   gradient_limit, queue_delay_limit)
{
    CHECK(load_upstream<TestType>(60.0).current() >= 54);
}

// Guards against a target that closes itself: its limit must allow it to find the capacity again.
TEMPLATE_TEST_CASE("concurrency_limit_upstream_sheds_everything_limit_stays_positive", "",
                   aimd_limit, gradient_limit, queue_delay_limit)
{
    const auto limit = load_upstream<TestType>(40.0, completion_result::shed);
    CHECK(limit.current() >= 1);
    CHECK(limit.current() < configured);
}

// Guards against failures without an answer that are taken for fast answers.
TEMPLATE_TEST_CASE("concurrency_limit_failed_work_leaves_limit_unchanged", "", aimd_limit,
                   gradient_limit, queue_delay_limit)
{
    CHECK(load_upstream<TestType>(40.0, completion_result::failed).current() == configured);
}
