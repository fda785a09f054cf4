#include "routing/retry_budget.h"
#include "routing/retry_policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace trefoil;

namespace {

struct retry_policy_fixture {
    retry_policy policy;

    static kind any_kind()
    {
        kind k;
        k.once_only = *rc::gen::arbitrary<bool>();
        k.repeatable = *rc::gen::arbitrary<bool>();
        return k;
    }
};

} // namespace

// Guards against a second execution of once-only work (rule R5), of non-repeatable work that may
// have run, and of requests that may have crashed an upstream.
TEST_CASE_METHOD(retry_policy_fixture, "retry_policy_outcome_that_may_have_run_is_not_retried")
{
    for (int i = 0; i <= static_cast<int>(refusal_reason::cancelled) * 12 + 11; ++i) {
        const auto reason = static_cast<refusal_reason>(i / 12);
        const auto result = static_cast<outcome>(i % 3);
        kind k;
        k.once_only = i / 3 % 2 == 0;
        k.repeatable = i / 6 % 2 == 0;
        const auto plan = policy.plan(k, {result, reason, {}}, 0, std::chrono::hours(1), 1);
        if (!plan) {
            continue;
        }
        CAPTURE(to_string(reason), to_string(result), k.once_only, k.repeatable);
        REQUIRE(result != outcome::complete);
        REQUIRE((result == outcome::not_run || (k.repeatable && !k.once_only)));
        REQUIRE(reason != refusal_reason::upstream_crashed);
        REQUIRE(reason != refusal_reason::quarantined);
        REQUIRE((plan->target == retry_target::owner) == k.once_only);
    }
}

// Guards against a policy that does not retry a request that was refused because of overload.
TEST_CASE_METHOD(retry_policy_fixture, "retry_policy_overloaded_target_is_retried_for_every_kind")
{
    REQUIRE(rc::check([this](std::uint64_t random) {
        const attempt_result refused{outcome::not_run, refusal_reason::queue_full, {}};
        RC_ASSERT(policy.plan(any_kind(), refused, 0, std::chrono::hours(1), random).has_value());
    }));
}

// Guards against synchronized retries, retries after the deadline, and retries before the
// retry-after delay of an owner.
TEST_CASE_METHOD(retry_policy_fixture, "retry_policy_delay_is_jittered_and_within_time_left")
{
    REQUIRE(rc::check([this](std::uint64_t random, std::uint32_t retries) {
        const auto k = any_kind();
        const attempt_result refused{outcome::not_run, refusal_reason::no_lease,
                                     std::chrono::milliseconds(*rc::gen::inRange(0, 300))};
        const auto time_left = std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
        if (const auto plan = policy.plan(k, refused, retries, time_left, random)) {
            RC_ASSERT(plan->delay < time_left);
            RC_ASSERT(plan->delay >= std::chrono::milliseconds(5));
            RC_ASSERT(!k.once_only || plan->delay > refused.retry_after);
        }
        const auto low = policy.plan(kind{}, refused, 0, std::chrono::hours(1), 0);
        const auto high = policy.plan(kind{}, refused, 0, std::chrono::hours(1), ~0ULL);
        RC_ASSERT(high->delay > low->delay * 2);
    }));
}

// Guards against retries that exceed 10% of the first attempts and so amplify an overload.
TEST_CASE_METHOD(retry_policy_fixture, "retry_budget_any_sequence_stays_within_a_tenth")
{
    REQUIRE(rc::check([](const std::vector<bool>& retry_next) {
        retry_budget budget;
        std::size_t first_attempts = 0;
        std::size_t retries = 0;
        for (int round = 0; round < 10; ++round) {
            for (const bool retry : retry_next) {
                if (retry) {
                    retries += budget.consume_retry() ? 1 : 0;
                }
                else {
                    ++first_attempts;
                    budget.first_attempt();
                }
                RC_ASSERT(retries * 10 <= first_attempts + 100);
            }
        }
    }));
}
