#include "admission_fixture.h"

#include "admission/admit_fractions.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace trefoil;
using namespace trefoil::testing;

struct admit_fractions_fixture : admission_fixture {
    static constexpr kind_index kind{1};
    static constexpr group_index group{0};
    admit_fractions fractions{2, 2};
    bool spare = false;

    void intervals(int count, int offered, int refused)
    {
        for (int i = 0; i < count; ++i) {
            for (int n = 0; n < offered; ++n) {
                fractions.count_offered(kind, group);
            }
            for (int n = 0; n < refused; ++n) {
                fractions.count_refused(kind, group);
            }
            now += 50ms;
            fractions.advance(now, spare);
        }
    }
};

// Guards against a flow whose fraction falls to 0, and against refusals that affect other flows.
TEST_CASE_METHOD(admit_fractions_fixture, "admit_fractions_refused_flow_falls_to_floor_alone")
{
    intervals(100, 10, 10);
    CHECK(fractions.fraction(kind, group) == Approx(0.01));
    CHECK(fractions.fraction(kind_index{0}, group) == 1.0);
    CHECK(fractions.fraction(kind, group_index{1}) == 1.0);
}

// Guards against slow recovery. The target in docs/design.md, section 1.2, is 2 s.
TEST_CASE_METHOD(admit_fractions_fixture,
                 "admit_fractions_flow_no_longer_refused_recovers_within_2s")
{
    intervals(100, 10, 10);
    intervals(40, 1, 0);
    CHECK(fractions.fraction(kind, group) == 1.0);
    CHECK_FALSE(fractions.recovering());
}

// Guards against a flow whose fraction does not recover while no requests arrive.
TEST_CASE_METHOD(admit_fractions_fixture, "admit_fractions_idle_time_counts_as_recovery")
{
    intervals(100, 10, 10);
    now += 2s;
    fractions.advance(now, spare);
    CHECK(fractions.fraction(kind, group) == 1.0);
}

// Guards against fractions outside [floor, 1], by which callers would refuse all requests of a flow
// or not limit it at all.
TEST_CASE_METHOD(admit_fractions_fixture, "admit_fractions_any_counts_stay_in_range")
{
    REQUIRE(rc::check([this] {
        fractions = admit_fractions(2, 2);
        for (int i = 0; i < 50; ++i) {
            const int offered = *rc::gen::inRange(0, 20);
            intervals(1, offered, *rc::gen::inRange(0, 20));
            RC_ASSERT(fractions.fraction(kind, group) >= 0.01);
            RC_ASSERT(fractions.fraction(kind, group) <= 1.0);
        }
    }));
}

// Guards against a target that stays idle because entry nodes still refuse requests for it.
TEST_CASE_METHOD(admit_fractions_fixture, "admit_fractions_idle_slots_recovery_is_faster")
{
    intervals(100, 10, 10);
    spare = true;
    intervals(5, 1, 0);
    CHECK(fractions.fraction(kind, group) == 1.0);
}
