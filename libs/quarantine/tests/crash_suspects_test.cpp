#include "quarantine/crash_suspects.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <initializer_list>
#include <random>
#include <thread>

using namespace trefoil;
using namespace std::chrono_literals;

namespace {

struct crash_suspects_fixture {
    crash_suspects suspects{vm_name("vm-0"), vm_incarnation{1}};
    mono_time now{1h};
    std::mt19937_64 random{3};

    request_id new_id() { return request_id::mint(wall_time{}, random); }

    /// Starts requests with the contents and then crashes the upstream.
    crash_changes crash_with(std::initializer_list<std::uint64_t> contents)
    {
        for (const auto content : contents) {
            suspects.started(new_id(), {content}, now);
        }
        return suspects.crashed(now);
    }

    static crash_report peer_report(std::uint64_t content,
                                    std::initializer_list<std::uint64_t> ordinals,
                                    std::chrono::milliseconds age = 0ms)
    {
        crash_report report{{content}, {}, {}, true};
        for (const auto ordinal : ordinals) {
            report.crashes.push_back({{vm_name("vm-9"), {1}, ordinal}, age, false});
        }
        return report;
    }
};

} // namespace

// Guards against releasing a content that crashes other upstreams because a failing one answered.
TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_failure_answer_does_not_release")
{
    crash_with({1});
    const auto id = new_id();
    suspects.started(id, {1}, now);
    CHECK(suspects.answered(id, {1}, 500, now).empty());
    CHECK(suspects.in_flight() == 0);
    CHECK(suspects.decide(new_id(), {1}, now).decision == crash_decision::run_alone);
    suspects.started(id, {1}, now);
    CHECK_FALSE(suspects.answered(id, {1}, 200, now).empty());
    CHECK(suspects.decide(new_id(), {1}, now).decision == crash_decision::run);
}

// Guards against two suspects on one target, where a crash would not show which of them caused it.
TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_second_suspect_waits_for_the_first")
{
    crash_with({1, 2});
    const auto first = new_id();
    REQUIRE(suspects.started(first, {1}, now).decision == crash_decision::run_alone);
    REQUIRE(suspects.started(new_id(), {2}, now).decision == crash_decision::refuse);
    REQUIRE(suspects.started(new_id(), {3}, now).decision == crash_decision::run);
    REQUIRE(suspects.decide_forward(new_id(), {2}, now).decision == crash_decision::run_alone);
    suspects.completed(first, {1}, now);
    REQUIRE(suspects.started(new_id(), {2}, now).decision == crash_decision::run_alone);
}

// Guards against races between threads of a node that let two suspects run at the same time or
// leave requests registered.
TEST_CASE_METHOD(crash_suspects_fixture,
                 "crash_suspects_concurrent_threads_run_one_suspect_at_once")
{
    crash_with({1, 2, 3, 4});
    std::atomic<int> running{0};
    std::atomic<int> max_running{0};
    const auto work = [&](std::uint64_t content) {
        std::mt19937_64 draw(content);
        for (int i = 0; i < 2000; ++i) {
            const auto id = request_id::mint(wall_time{}, draw);
            const auto result = suspects.started(id, {content}, now);
            if (result.decision == crash_decision::run_alone) {
                max_running = std::max(max_running.load(), ++running);
                --running;
            }
            if (result.decision != crash_decision::refuse) {
                suspects.abandoned(id, {content});
            }
            suspects.merge(vm_name("vm-9"), std::vector{peer_report(content + 9, {1})}, now);
            suspects.reports(4, now);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint64_t content = 1; content <= 4; ++content) {
        threads.emplace_back(work, content);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    REQUIRE(max_running == 1);
    REQUIRE(suspects.in_flight() == 0);
}

// Guards against an audit trail with missing or repeated changes.
TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_each_change_is_returned_once")
{
    REQUIRE(crash_with({1}).front().change == crash_change_kind::suspected);
    REQUIRE(crash_with({1}).front().change == crash_change_kind::quarantined);
    REQUIRE(suspects.merge(vm_name("vm-1"), suspects.reports(8, now), now).empty());
    auto released = suspects.reports(8, now);
    for (auto& crash : released.front().crashes) {
        crash.released = true;
    }
    REQUIRE(suspects.merge(vm_name("vm-1"), released, now).front().change ==
            crash_change_kind::released);
    REQUIRE(suspects.completed(new_id(), {1}, now).empty());
    REQUIRE(suspects.expire(now + 9min).empty());
    REQUIRE(suspects.expire(now + 10min).front().change == crash_change_kind::expired);
    REQUIRE(suspects.size() == 0);
}

// Guards against unbounded memory use by a flood of crashing contents, and against contents in
// flight at a crash evicting contents that are quarantined after two crashes.
TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_flood_is_bounded_and_keeps_quarantined")
{
    crash_with({1});
    crash_with({1});
    for (std::uint64_t content = 2; content < 3000; ++content) {
        suspects.started(new_id(), {content}, now);
        if (content % 300 == 0) {
            suspects.crashed(now);
        }
        suspects.merge(vm_name("vm-9"), std::vector{peer_report(content + 10000, {content})}, now);
        REQUIRE(suspects.size() <= 1024);
        now += 10ms;
    }
    REQUIRE(suspects.size() == 1024);
    REQUIRE(suspects.decide(new_id(), {1}, now).decision == crash_decision::refuse);
    REQUIRE(suspects.reports(8, now).front().fingerprint == content_fingerprint{1});
    REQUIRE(suspects.decide_forward(new_id(), {12999}, now).decision == crash_decision::run_alone);

    crash_suspects full(vm_name("vm-1"), vm_incarnation{1});
    for (std::uint64_t content = 0; content < 1024; ++content) {
        full.merge(vm_name("vm-9"), std::vector{peer_report(content, {1, 2})}, now);
    }
    full.merge(vm_name("vm-9"), std::vector{peer_report(5000, {3})}, now);
    for (std::uint64_t content = 0; content < 1024; ++content) {
        REQUIRE(full.decide(new_id(), {content}, now).decision == crash_decision::refuse);
    }
}

// Guards against a result that depends on the order or the repetition of reports.
TEST_CASE_METHOD(crash_suspects_fixture,
                 "crash_suspects_reports_in_any_order_give_the_same_decision")
{
    REQUIRE(rc::check([this](std::uint64_t seed) {
        std::mt19937_64 draw(seed);
        std::vector<crash_report> reports;
        for (int i = 0; i < 12; ++i) {
            const std::chrono::milliseconds age(draw() % 80000);
            reports.push_back(peer_report(draw() % 2, {draw() % 4}, age));
            reports.back().crashes.front().released = draw() % 4 == 0;
        }
        const auto apply = [&](std::size_t times) {
            crash_suspects node(vm_name("vm-1"), vm_incarnation{1});
            for (std::size_t i = 0; i < times; ++i) {
                node.merge(vm_name("vm-9"), reports, now);
            }
            const auto result = node.decide({}, {1}, now);
            return std::pair(result.decision, result.retry_after);
        };
        const auto once = apply(1);
        std::ranges::shuffle(reports, draw);
        RC_ASSERT(apply(1) == once);
        RC_ASSERT(apply(3) == once);
    }));
}

// Guards against all targets running a trial at the moment the quarantine ends, and all crashing.
TEST_CASE_METHOD(crash_suspects_fixture,
                 "crash_suspects_trials_of_targets_start_at_different_times")
{
    std::vector<std::chrono::nanoseconds> trials;
    for (int i = 0; i < 20; ++i) {
        crash_suspects node(vm_name("vm-" + std::to_string(i)), vm_incarnation{1});
        node.merge(vm_name("vm-9"), std::vector{peer_report(1, {1, 2})}, now);
        trials.push_back(node.decide(new_id(), {1}, now).retry_after);
        REQUIRE(node.decide(new_id(), {1}, now + 70s).decision == crash_decision::run_alone);
    }
    const auto [first, last] = std::ranges::minmax(trials);
    REQUIRE(first >= 60s);
    REQUIRE(last - first > 5s);
}

// Guards against a peer that extends a quarantine by reports with invalid ages, and against
// fingerprints that change when they are converted to text and back.
TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_invalid_ages_do_not_extend_the_quarantine")
{
    suspects.merge(vm_name("vm-9"), std::vector{peer_report(1, {1, 2}, -1h)}, now);
    REQUIRE(suspects.decide(new_id(), {1}, now).retry_after <= 70s);
    suspects.merge(vm_name("vm-9"), std::vector{peer_report(2, {1, 2}, 10min)}, now);
    REQUIRE(suspects.decide(new_id(), {2}, now).decision == crash_decision::run);
    REQUIRE(rc::check([](std::uint64_t value) {
        const content_fingerprint fingerprint{value};
        RC_ASSERT(content_fingerprint::parse(fingerprint.to_string()) == fingerprint);
    }));
    REQUIRE(fingerprint_of(service_name("a"), "bc", "") !=
            fingerprint_of(service_name("ab"), "c", ""));
}
