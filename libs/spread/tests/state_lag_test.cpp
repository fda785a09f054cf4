#include "spread/state_lag.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using trefoil::mono_time;

namespace {

struct state_lag_fixture {
    static constexpr auto wait_limit = 400ms;
    static constexpr mono_time now{1h};
    trefoil::state_lag lag;

    /// Version of a revision in the second era.
    static trefoil::published_version at(std::uint64_t revision) { return {2, revision}; }
};

} // namespace

// Guards against a node that stays outdated because its own watch never returns.
TEST_CASE_METHOD(state_lag_fixture, "state_lag_peer_stays_ahead_asks_once_per_wait_limit")
{
    CHECK_FALSE(lag.observe(at(5), at(5), wait_limit, now));
    CHECK_FALSE(lag.observe(at(6), at(5), wait_limit, now));
    CHECK(lag.observe(at(6), at(5), wait_limit, now + wait_limit));
    CHECK_FALSE(lag.observe(at(7), at(5), wait_limit, now + wait_limit));
    CHECK(lag.observe(at(7), at(5), wait_limit, now + 2 * wait_limit));
}

// Guards against messages of outdated peers that reset the wait for a newer revision.
TEST_CASE_METHOD(state_lag_fixture, "state_lag_peers_behind_as_well_do_not_delay_the_request")
{
    CHECK_FALSE(lag.observe(at(6), at(5), wait_limit, now));
    CHECK_FALSE(lag.observe(at(5), at(5), wait_limit, now + 1ms));
    CHECK(lag.observe(at(6), at(5), wait_limit, now + wait_limit));
}

// Guards against pulls of changes that the node's own watch returns shortly afterwards.
TEST_CASE_METHOD(state_lag_fixture, "state_lag_caught_up_in_time_does_not_ask")
{
    CHECK_FALSE(lag.observe(at(6), at(5), wait_limit, now));
    CHECK_FALSE(lag.observe(at(6), at(6), wait_limit, now + 1ms));
    CHECK_FALSE(lag.observe(at(7), at(6), wait_limit, now + wait_limit));
}

// Guards against a node that does not ask since it knows a higher revision of an earlier era, and
// against one that asks a peer of an earlier era.
TEST_CASE_METHOD(state_lag_fixture, "state_lag_peer_of_later_era_at_lower_revision_is_asked")
{
    CHECK_FALSE(lag.observe({3, 20}, at(60), wait_limit, now));
    CHECK(lag.observe({3, 20}, at(60), wait_limit, now + wait_limit));
    CHECK_FALSE(lag.observe(at(90), {3, 20}, wait_limit, now + 2 * wait_limit));
    CHECK_FALSE(lag.observe(at(91), {3, 20}, wait_limit, now + 3 * wait_limit));
}
