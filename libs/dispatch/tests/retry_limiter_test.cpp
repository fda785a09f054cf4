#include "dispatch/retry_limiter.h"
#include "dispatch/retry_rule.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

/// One node's requests and retries for a service, with the times at which they were sent.
struct retry_limiter_fixture {
    static constexpr auto window = 10s;
    static constexpr double ratio = 0.2;

    mono_time now{1h};
    retry_limiter limiter{{.ratio = ratio, .window = window}};
    std::vector<mono_time> requests;
    std::vector<mono_time> retries;

    retry_limiter_fixture() { limiter.record_caller(false); }

    void request()
    {
        limiter.record_request(now);
        requests.push_back(now);
    }

    bool retry(double reserved = 0.0)
    {
        const bool taken = limiter.take(reserved, now);
        if (taken) {
            retries.push_back(now);
        }
        return taken;
    }

    /// Sends requests evenly at this rate per second; `failing` of them ask for a retry.
    void send(std::chrono::milliseconds length, int rate, double failing, double reserved = 0.0)
    {
        const auto gap = std::chrono::nanoseconds(1s) / rate;
        double failures = 0.0;
        for (const auto end = now + length; now < end; now += gap) {
            request();
            failures += failing;
            if (failures >= 1.0) {
                failures -= 1.0;
                retry(reserved);
            }
        }
    }

    static std::size_t count(const std::vector<mono_time>& times, mono_time begin, mono_time end)
    {
        return static_cast<std::size_t>(std::count_if(
            times.begin(), times.end(), [&](auto t) { return t >= begin && t < end; }));
    }

    /// The most retries beyond the limit in any window that ends with a retry or just after it has
    /// begun with one; the limit is that of the deployments.
    double largest_excess() const
    {
        double excess = 0.0;
        const auto check = [&](mono_time begin) {
            const auto in = [&](mono_time b) {
                return static_cast<double>(count(requests, b, b + window));
            };
            const auto most = std::max({in(begin), in(begin - window), in(begin - window / 2)});
            const auto sent = static_cast<double>(count(retries, begin, begin + window));
            excess = std::max(excess, sent - ratio * most);
        };
        for (const auto t : retries) {
            check(t);
            check(t + 1ns - window);
        }
        return excess;
    }
};

} // namespace

// Guards against more retries in any window than the deployments allow: 48 for 16 nodes.
TEST_CASE("retry_limiter_any_load_stays_within_the_limit_of_every_window")
{
    rc::check("no window exceeds the limit by more than the share of one node", [] {
        constexpr double slack_of_node = 3.0;
        retry_limiter_fixture f;
        const auto phases = *rc::gen::inRange(1, 8);
        for (int i = 0; i < phases; ++i) {
            const auto length = std::chrono::milliseconds(*rc::gen::inRange(200, 12'000));
            f.send(length, *rc::gen::inRange(5, 120), *rc::gen::inRange(0, 20) / 10.0);
        }
        RC_ASSERT(f.largest_excess() <= slack_of_node);
    });
}

// Guards against losing the retries that a service could have had before it began to fail.
TEST_CASE_METHOD(retry_limiter_fixture,
                 "retry_limiter_failures_after_calm_use_what_was_left_in_the_window")
{
    send(20s, 100, 0.0);
    send(8s, 40, 0.5);
    // 0.5 of 320 requests fail. A limiter that accrues with each request permits 0.2 of them.
    CHECK(retries.size() >= 140);
    CHECK(largest_excess() <= 3.0);
}

// Guards against using up the whole limit in the first moments of an outage.
TEST_CASE_METHOD(retry_limiter_fixture, "retry_limiter_severe_failures_leave_retries_for_later")
{
    send(20s, 100, 0.0);
    send(6s, 100, 1.0);
    const auto third = [&](int n) {
        return count(retries, now - (3 - n) * 2s, now - (2 - n) * 2s);
    };
    CHECK(third(2) * 2 >= third(0));
    CHECK(third(2) > 0);
}

// Guards against spending the limit on requests that will probably fail nevertheless.
TEST_CASE_METHOD(retry_limiter_fixture, "retry_limiter_unlikely_request_leaves_retries_to_others")
{
    send(20s, 100, 0.0);
    send(5s, 100, 1.0, reserved_share(0.05));
    const auto limit = ratio * static_cast<double>(count(requests, now - window, now));
    CHECK(4.0 * static_cast<double>(retries.size()) <= limit);
    CHECK(retry(reserved_share(1.0)));
}

// Guards against retries at each hop that multiply: a retried request makes all of its calls again.
TEST_CASE_METHOD(retry_limiter_fixture, "retry_limiter_calls_of_retried_requests_are_counted")
{
    send(20s, 100, 0.0);
    for (int i = 0; i < 400; ++i) {
        limiter.record_retry(now);
    }
    CHECK_FALSE(retry());
}

// Guards against retries at several services of a chain that together exceed the limit of the
// deepest one.
TEST_CASE_METHOD(retry_limiter_fixture, "retry_limiter_service_that_makes_calls_gets_less")
{
    limiter.record_caller(true);
    send(20s, 100, 0.0);
    send(8s, 100, 1.0);
    const auto as_caller = retries.size();
    *this = {};
    send(20s, 100, 0.0);
    send(8s, 100, 1.0);
    CHECK(as_caller > 0);
    CHECK(2 * as_caller < retries.size() + 1);
}

// Guards against a node that cannot retry because it has sent few requests.
TEST_CASE_METHOD(retry_limiter_fixture, "retry_limiter_node_without_requests_has_one_retry")
{
    CHECK(retry());
    CHECK_FALSE(retry());
}

namespace {

/// Replays requests that need several calls in sequence to a service that declines a fixed part of
/// them. A declined call is retried once if the rule allows it.
struct declining_service_fixture : retry_limiter_fixture {
    static constexpr std::uint64_t seed = 20261204;
    std::mt19937_64 random{seed};
    double declined = 0.5;

    struct kind {
        int calls = 4;
        /// Chance of everything else that the request needs.
        double outer = 1.0;
    };

    bool attempt() { return std::uniform_real_distribution<>()(random) >= declined; }

    template<class Reserve>
    bool serve(const kind& k, Reserve reserve)
    {
        for (int call = 1; call <= k.calls; ++call) {
            request();
            if (!attempt() && !(retry(reserve(k, call)) && attempt())) {
                return false;
            }
        }
        return std::uniform_real_distribution<>()(random) < k.outer;
    }

    /// Number of requests served out of 40 a second for 8 s, half of them with little chance.
    template<class Reserve>
    int served(Reserve reserve)
    {
        send(20s, 100, 0.0);
        int count = 0;
        for (int i = 0; i < 320; ++i, now += 25ms) {
            count += serve(i % 2 == 0 ? kind{4, 1.0} : kind{4, 0.1}, reserve) ? 1 : 0;
        }
        return count;
    }
};

} // namespace

// Guards against losing whole requests whose last calls are not retried, while others with little
// chance use the retries.
TEST_CASE_METHOD(declining_service_fixture,
                 "retry_rule_declining_service_retries_where_a_request_can_still_succeed")
{
    constexpr double call_share = 0.7;
    const auto alike = served([](const auto&, int) { return 0.0; });
    *this = {};
    const auto by_chance = served([](const auto& k, int call) {
        return reserved_share(chance_after_call(k.outer, call_share, k.calls - call));
    });
    INFO("alike " << alike << ", by chance " << by_chance);
    CHECK(by_chance >= alike);
    CHECK(largest_excess() <= 3.0);
}
