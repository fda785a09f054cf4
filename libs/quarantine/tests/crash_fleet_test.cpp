#include "crash_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace trefoil;
using namespace std::chrono_literals;

namespace {

struct crash_fleet_fixture {
    static constexpr auto quarantine = 60s;

    /// Number of crashes that every node has received by the time `at`.
    static std::ptrdiff_t known_crashes(const crash_fleet& fleet, mono_time at)
    {
        return std::ranges::count_if(
            fleet.crashes(), [&](mono_time crash) { return crash + crash_fleet::max_delay <= at; });
    }
};

} // namespace

// Guards against more than two crashes per fingerprint, apart from retries that arrive while the
// quarantine propagates (docs/design.md, section 5.6), and against a wrong outcome for a rejected
// retry (docs/design.md, R4).
TEST_CASE_METHOD(crash_fleet_fixture,
                 "crash_fleet_many_callers_run_no_content_known_to_crash_twice")
{
    REQUIRE(rc::check([](std::uint64_t seed) {
        crash_fleet fleet(seed, 2 + seed % 5);
        std::vector<request_id> ids;
        const auto harmless = content_fingerprint{2 + fleet.draw() % 3};
        for (auto time = 0ms; time < 150s;) {
            const std::chrono::milliseconds gap(fleet.draw() % 2000);
            fleet.advance(gap);
            time += gap;
            if (ids.size() < 5 || fleet.draw() % 8 == 0) {
                ids.push_back(fleet.new_id());
            }
            fleet.send(fleet.draw() % fleet.node_count(), fleet.new_id(), harmless);
            fleet.send(fleet.draw() % fleet.node_count(), ids[fleet.draw() % ids.size()],
                       crash_fleet::poison);
        }
        RC_ASSERT(fleet.crashes().size() >= 2U);
        for (const auto& event : fleet.poison_events()) {
            const auto known = known_crashes(fleet, event.at);
            if (event.result.decision != crash_decision::refuse) {
                // Doubled parentheses: the macro's own operators evaluate both sides.
                RC_ASSERT((known < 2 || event.at - fleet.crashes()[known - 1] >= quarantine));
                RC_ASSERT(event.result.decision == crash_decision::run_alone || known == 0);
                continue;
            }
            const auto known_time = event.at - crash_fleet::max_delay;
            if (fleet.was_in_flight_at_crash(event.id, known_time)) {
                RC_ASSERT(event.result.answer == outcome::unknown);
            }
            else if (!fleet.was_in_flight_at_crash(event.id, event.at) &&
                     fleet.crashes().size() <= 8) {
                RC_ASSERT(event.result.answer == outcome::not_run);
            }
        }
    }));
}

// Guards against a caller that retries a crashing request and crashes one upstream of the fleet
// after the other. Only two crashes are allowed, then one after each quarantine.
TEST_CASE_METHOD(crash_fleet_fixture,
                 "crash_fleet_one_caller_retrying_crashes_two_then_one_per_quarantine")
{
    REQUIRE(rc::check([](std::uint64_t seed) {
        crash_fleet fleet(seed, 2 + seed % 5);
        const auto id = fleet.new_id();
        while (fleet.now() < mono_time(1h + 5min)) {
            fleet.send(fleet.draw() % fleet.node_count(), id, crash_fleet::poison);
            // The caller retries after its response, when all nodes have received the crash.
            fleet.advance(crash_fleet::run_time + crash_fleet::max_delay +
                          std::chrono::milliseconds(fleet.draw() % 3000));
        }
        const auto& crashes = fleet.crashes();
        RC_ASSERT(crashes.size() >= 2U);
        for (std::size_t i = 2; i < crashes.size(); ++i) {
            RC_ASSERT(crashes[i] - crashes[i - 1] >= quarantine);
        }
        // At least one trial must run, or a fixed upstream would never serve the content again.
        RC_ASSERT(crashes.size() > 2U);
    }));
}

// Guards against a harmless request that stays quarantined on any node because it was often in
// flight together with one that crashes upstreams.
TEST_CASE_METHOD(crash_fleet_fixture, "crash_fleet_harmless_contents_are_released_on_all_nodes")
{
    REQUIRE(rc::check([](std::uint64_t seed) {
        crash_fleet fleet(seed, 2 + seed % 4);
        const std::vector<content_fingerprint> harmless{{2}, {3}, {4}};
        // Stops at the crash of a trial, so that most nodes receive it and the release only from
        // their peers.
        while (fleet.crashes().size() < 2 + seed % 3) {
            fleet.advance(std::chrono::milliseconds(fleet.draw() % 400));
            const auto target = fleet.draw() % fleet.node_count();
            for (const auto content : harmless) {
                fleet.send(target, fleet.new_id(), content);
            }
            fleet.send(target, fleet.new_id(), crash_fleet::poison);
        }
        // Without the poison, the maximum wait is the quarantine plus the offset of the trial;
        // trials on one target run one after the other.
        fleet.advance(70s);
        for (int round = 0; round < 10; ++round) {
            for (const auto content : harmless) {
                fleet.send(0, fleet.new_id(), content);
                fleet.advance(1s);
            }
        }
        for (const auto content : harmless) {
            for (std::size_t i = 0; i < fleet.node_count(); ++i) {
                const auto result = fleet.node(i).decide(fleet.new_id(), content, fleet.now());
                RC_ASSERT(result.decision == crash_decision::run);
            }
        }
    }));
}
