#include "dispatch/drain_rule.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

struct drain_rule_fixture {
    static constexpr auto grace = 6s;
    mono_time start{1h};
    drain_rule rule{start, grace};
};

} // namespace

// Guards against accepting a request that may still run when the process is killed.
TEST_CASE_METHOD(drain_rule_fixture, "drain_rule_request_that_may_outlast_the_grace_is_rejected")
{
    for (auto arrived = start; arrived < start + grace; arrived += 100ms) {
        for (const auto timeout : {500ms, 1200ms, 2500ms, 5000ms, 8000ms}) {
            const auto deadline = arrived + timeout;
            INFO("arrived after " << (arrived - start) / 1ms << " ms, timeout " << timeout / 1ms);
            CHECK((!rule.accepts(arrived, deadline) || deadline < start + grace));
            CHECK((!rule.accepts_call(deadline) || deadline < start + grace));
        }
    }
}

// Guards against a planned stop that turns callers away before they have learned of it.
TEST_CASE_METHOD(drain_rule_fixture, "drain_rule_short_request_is_accepted_at_first")
{
    CHECK(rule.accepts(start + 2s, start + 3s));
    CHECK_FALSE(rule.accepts(start + 4s, start + 5s));
}

// Guards against failing requests that the local target has nearly finished.
TEST_CASE_METHOD(drain_rule_fixture, "drain_rule_call_of_a_running_request_is_accepted_until_late")
{
    CHECK(rule.accepts_call(start + 5s));
}
