#include "spread/state_lag.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using trefoil::mono_time;

namespace {

struct state_lag_fixture {
    static constexpr auto patience = 400ms;
    static constexpr mono_time now{1h};
    trefoil::state_lag lag;
};

} // namespace

// Guards against a node that stays behind because its own watch never returns.
TEST_CASE_METHOD(state_lag_fixture, "state_lag_peer_stays_ahead_asks_once_for_each_wait")
{
    CHECK_FALSE(lag.observe(5, 5, patience, now));
    CHECK_FALSE(lag.observe(6, 5, patience, now));
    CHECK(lag.observe(6, 5, patience, now + patience));
    CHECK_FALSE(lag.observe(7, 5, patience, now + patience));
    CHECK(lag.observe(7, 5, patience, now + 2 * patience));
}

// Guards against peers that are behind as well and hide those that are ahead.
TEST_CASE_METHOD(state_lag_fixture, "state_lag_peers_behind_as_well_do_not_delay_the_question")
{
    CHECK_FALSE(lag.observe(6, 5, patience, now));
    CHECK_FALSE(lag.observe(5, 5, patience, now + 1ms));
    CHECK(lag.observe(6, 5, patience, now + patience));
}

// Guards against questions for changes that the own watch brings a moment later.
TEST_CASE_METHOD(state_lag_fixture, "state_lag_caught_up_in_time_does_not_ask")
{
    CHECK_FALSE(lag.observe(6, 5, patience, now));
    CHECK_FALSE(lag.observe(6, 6, patience, now + 1ms));
    CHECK_FALSE(lag.observe(7, 6, patience, now + patience));
}
