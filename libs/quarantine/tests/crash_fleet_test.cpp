#include "crash_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace trefoil;
using namespace std::chrono_literals;

namespace {

struct crash_fleet_fixture {
    static constexpr auto quarantine = 60s;

    /// Crashes that every node knows at a time.
    static std::ptrdiff_t known_crashes(const crash_fleet& fleet, mono_time at)
    {
        return std::ranges::count_if(fleet.crashes(), [&](mono_time crash) {
            return crash + crash_fleet::longest_delay <= at;
        });
    }
};

} // namespace

// Guards against more crashes than two for each fingerprint, plus the repeats that arrive while the
// quarantine propagates (5.6), and against a wrong outcome for a refused repeat (R4).
TEST_CASE_METHOD(crash_fleet_fixture,
                 "crash_fleet_many_callers_run_no_content_known_to_crash_twice")
{
    REQUIRE(rc::check([](std::uint64_t seed) {
        crash_fleet fleet(seed, 2 + seed % 5);
        std::vector<request_id> ids;
        const auto neighbour = content_fingerprint{2 + fleet.draw() % 3};
        for (auto time = 0ms; time < 150s;) {
            const std::chrono::milliseconds gap(fleet.draw() % 2000);
            fleet.advance(gap);
            time += gap;
            if (ids.size() < 5 || fleet.draw() % 8 == 0) {
                ids.push_back(fleet.new_id());
            }
            fleet.send(fleet.draw() % fleet.node_count(), fleet.new_id(), neighbour);
            fleet.send(fleet.draw() % fleet.node_count(), ids[fleet.draw() % ids.size()],
                       crash_fleet::poison);
        }
        RC_ASSERT(fleet.crashes().size() >= 2U);
        for (const auto& event : fleet.poison_events()) {
            const auto known = known_crashes(fleet, event.at);
            if (event.verdict.decision != crash_decision::refuse) {
                // Doubled parentheses: the macro's own operators evaluate both sides.
                RC_ASSERT((known < 2 || event.at - fleet.crashes()[known - 1] >= quarantine));
                RC_ASSERT(event.verdict.decision == crash_decision::run_alone || known == 0);
                continue;
            }
            const auto known_time = event.at - crash_fleet::longest_delay;
            if (fleet.was_in_flight_at_crash(event.id, known_time)) {
                RC_ASSERT(event.verdict.answer == outcome::unknown);
            }
            else if (!fleet.was_in_flight_at_crash(event.id, event.at) &&
                     fleet.crashes().size() <= 8) {
                RC_ASSERT(event.verdict.answer == outcome::not_run);
            }
        }
    }));
}

// Guards against a caller that keeps sending its request and so crashes the fleet one upstream
// after the other: two crashes, then one for each quarantine that ran out.
TEST_CASE_METHOD(crash_fleet_fixture,
                 "crash_fleet_one_caller_repeating_crashes_two_then_one_a_minute")
{
    REQUIRE(rc::check([](std::uint64_t seed) {
        crash_fleet fleet(seed, 2 + seed % 5);
        const auto id = fleet.new_id();
        while (fleet.now() < mono_time(1h + 5min)) {
            fleet.send(fleet.draw() % fleet.node_count(), id, crash_fleet::poison);
            // The caller repeats after its answer; by then the news has arrived.
            fleet.advance(crash_fleet::run_time + crash_fleet::longest_delay +
                          std::chrono::milliseconds(fleet.draw() % 3000));
        }
        const auto& crashes = fleet.crashes();
        RC_ASSERT(crashes.size() >= 2U);
        for (std::size_t i = 2; i < crashes.size(); ++i) {
            RC_ASSERT(crashes[i] - crashes[i - 1] >= quarantine);
        }
        // One trial must take place, or a repaired upstream never serves the content again.
        RC_ASSERT(crashes.size() > 2U);
    }));
}

// Guards against an innocent request that stays quarantined, at any node, because it was often in
// flight beside one that crashes upstreams.
TEST_CASE_METHOD(crash_fleet_fixture, "crash_fleet_innocent_neighbours_are_released_everywhere")
{
    REQUIRE(rc::check([](std::uint64_t seed) {
        crash_fleet fleet(seed, 2 + seed % 4);
        const std::vector<content_fingerprint> innocents{{2}, {3}, {4}};
        // Ends at the crash of a trial, so that most nodes learn of it and of the release only from
        // their peers.
        while (fleet.crashes().size() < 2 + seed % 3) {
            fleet.advance(std::chrono::milliseconds(fleet.draw() % 400));
            const auto target = fleet.draw() % fleet.node_count();
            for (const auto content : innocents) {
                fleet.send(target, fleet.new_id(), content);
            }
            fleet.send(target, fleet.new_id(), crash_fleet::poison);
        }
        // Without the poison, the longest wait is the quarantine and the spread of the trials;
        // trials on one target wait for each other.
        fleet.advance(70s);
        for (int round = 0; round < 10; ++round) {
            for (const auto content : innocents) {
                fleet.send(0, fleet.new_id(), content);
                fleet.advance(1s);
            }
        }
        for (const auto content : innocents) {
            for (std::size_t i = 0; i < fleet.node_count(); ++i) {
                const auto verdict = fleet.node(i).decide(fleet.new_id(), content, fleet.now());
                RC_ASSERT(verdict.decision == crash_decision::run);
            }
        }
    }));
}
