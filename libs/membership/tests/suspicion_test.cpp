#include "member_view_fixture.h"
#include "routing/target_selector.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <random>

using namespace trefoil;
using namespace std::chrono_literals;

// Guards against several partitioned nodes whose reports make their peers suspect working targets.
// The peers have no own calls that would contradict the reports.
TEST_CASE_METHOD(member_view_fixture, "suspicion_of_partitioned_nodes_does_not_reach_their_peers")
{
    REQUIRE(rc::check([this](std::uint64_t seed) {
        std::mt19937_64 draw(seed);
        std::array partitioned{make_view("cut-off-1"), make_view("cut-off-2"),
                               make_view("cut-off-3")};
        auto peer = make_view();
        // The partition begins after a healthy period. In half of the runs the nodes still reach
        // one target.
        const std::chrono::milliseconds call_interval(20 + draw() % 480);
        const bool reach_one = draw() % 2 == 0;
        for (int step = 0; step < 400; ++step) {
            now += call_interval;
            for (auto& node : partitioned) {
                const auto target = draw() % targets;
                const bool fails = step >= 20 && (target > 0 || !reach_one);
                call(node, vm(target), fails ? call_evidence::failed : call_evidence::answered);
                node.tick(now);
                peer.peer_reported(node.report(), now);
            }
            peer.tick(now);
            for (std::size_t i = 0; i < targets; ++i) {
                RC_ASSERT(!suspects(peer, vm(i)));
            }
        }
        RC_ASSERT(partitioned.front().suspects_itself());
        // Panic routing still works: the selector returns a target although most are suspected.
        RC_ASSERT(
            target_selector().pick(partitioned.front().candidates(called, now), {}, {}, draw()));
    }));
}

// Guards against a real fault that is not reported: each peer would have to detect it by own calls.
TEST_CASE_METHOD(member_view_fixture, "suspicion_of_one_target_among_working_ones_is_reported")
{
    auto view = make_view();
    fail(view, vm(0));
    REQUIRE(view.report().suspected.empty());
    now += 1s;
    call(view, vm(1), call_evidence::answered);
    call(view, vm(2), call_evidence::refused);
    REQUIRE(view.report().suspected == std::vector{vm(0)});
    // Once more than half of the service is suspected, reported suspicions are withdrawn, even if
    // the number increased slowly.
    for (std::size_t i = 3; i < targets; ++i) {
        now += 1s;
        fail(view, vm(i));
    }
    now += 1s;
    call(view, vm(1), call_evidence::answered);
    call(view, vm(2), call_evidence::answered);
    REQUIRE(view.suspects_itself());
    REQUIRE(view.report().suspected.empty());
}

// Guards against a suspicion caused by a single faulty peer, against reports that override the
// success of own calls, and against reports that have no effect.
TEST_CASE_METHOD(member_view_fixture, "suspicion_by_peers_needs_two_and_yields_to_own_success")
{
    auto view = make_view();
    const member_report first{vm_name("peer-1"), {1}, {}, {vm(0)}};
    const member_report second{vm_name("peer-2"), {1}, {}, {vm(0)}};
    view.peer_reported(first, now);
    view.peer_reported(first, now);
    REQUIRE(!suspects(view, vm(0)));
    view.peer_reported(second, now);
    REQUIRE(suspects(view, vm(0)));
    REQUIRE(view.report().suspected.empty());
    call(view, vm(0), call_evidence::answered);
    REQUIRE(!suspects(view, vm(0)));
    view.peer_reported(second, now + 1s);
    REQUIRE(!suspects(view, vm(0)));
    view.tick(now + 11s);
    view.peer_reported(first, now + 11s);
    REQUIRE(!suspects(view, vm(0)));
    view.peer_reported(second, now + 11s);
    REQUIRE(suspects(view, vm(0)));
    view.tick(now + 21s);
    REQUIRE(!suspects(view, vm(0)));
}

// Guards against a target that stays suspected after it recovered, and against too many trials of a
// target that has not recovered.
TEST_CASE_METHOD(member_view_fixture, "suspicion_ends_by_rare_trials_after_recovery")
{
    REQUIRE(rc::check([this](std::uint64_t seed) {
        std::mt19937_64 draw(seed);
        auto view = make_view();
        const target_selector selector;
        const auto broken = vm(draw() % targets);
        const auto fault_ends = now + std::chrono::seconds(draw() % 120);
        // The maximum interval between trials with its jitter.
        const auto latest_recovery = fault_ends + 30s * 5 / 4 + 1s;
        int trials = 0;
        fail(view, broken);
        const auto fault_begins = now;
        while (now < latest_recovery) {
            now += 20ms;
            view.tick(now);
            const auto choice = selector.pick(view.candidates(called, now),
                                              availability_zone_name("zone-0"), {}, draw());
            const auto target = choice->target->vm;
            const bool fails = target == broken && now < fault_ends;
            trials += fails ? 1 : 0;
            call(view, target, fails ? call_evidence::failed : call_evidence::answered);
        }
        RC_ASSERT(!suspects(view, broken));
        // The interval doubles from 1 s to 30 s; the jitter shortens it by at most a quarter.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(fault_ends - fault_begins);
        RC_ASSERT(trials <= 6 + seconds.count() / 22);
        if (seconds > 60s) {
            RC_ASSERT(trials >= 2);
        }
    }));
}

// Guards against suspicions caused by a pause of the own process: by calls started before it, and
// by failures until the view is refreshed.
TEST_CASE_METHOD(member_view_fixture, "suspicion_after_pause_waits_for_the_refresh")
{
    auto view = make_view();
    const auto before = now;
    for (int i = 0; i < 3; ++i) {
        view.call_started(vm(0), before);
    }
    call(view, vm(1), call_evidence::failed);
    call(view, vm(1), call_evidence::failed);
    now += 10s;
    REQUIRE(view.pause_detected(now).front().change == membership_change_kind::paused);
    now += 10ms;
    fail(view, vm(1));
    view.peer_reported({vm_name("peer-1"), {1}, {}, {vm(2)}}, now);
    view.peer_reported({vm_name("peer-2"), {1}, {}, {vm(2)}}, now);
    REQUIRE(view.suspected_or_leaving().empty());
    view.refreshed(now);
    REQUIRE(suspects(view, vm(2)));
    for (int i = 0; i < 3; ++i) {
        view.call_finished(vm(0), before, call_evidence::failed, now);
    }
    REQUIRE(!suspects(view, vm(0)));
    call(view, vm(1), call_evidence::failed);
    REQUIRE(!suspects(view, vm(1)));
    fail(view, vm(1));
    REQUIRE(suspects(view, vm(1)));
    // If the view is not refreshed, targets can become suspected again after refresh_timeout.
    view.pause_detected(now);
    view.tick(now + 5s);
    now += 6s;
    fail(view, vm(3));
    REQUIRE(suspects(view, vm(3)));
}
