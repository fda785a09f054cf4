#include "dispatch/crash_tracker.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

struct crash_tracker_fixture {
    crash_tracker tracker;
    mono_time now{1h};
    content_fingerprint crashing{17};
    content_fingerprint harmless{18};

    bool crash(content_fingerprint content, std::uint64_t number)
    {
        return tracker.crashed(content, number, now);
    }
};

} // namespace

// Guards against a request that crashes one target after the other.
TEST_CASE_METHOD(crash_tracker_fixture, "crash_tracker_content_of_three_crashes_is_quarantined")
{
    CHECK_FALSE(crash(crashing, 1));
    CHECK_FALSE(crash(crashing, 2));
    CHECK(crash(crashing, 3));
    CHECK_FALSE(
        tracker.quarantine_left(crashing, now + 299ms)); // Other nodes may report it as served.
    CHECK(tracker.quarantine_left(crashing, now + 300ms) == 59'700ms);
    CHECK_FALSE(tracker.quarantine_left(harmless, now + 300ms));
    CHECK_FALSE(tracker.quarantine_left(crashing, now + 60s));
}

// Guards against quarantining requests that only happened to run during crashes caused by others.
TEST_CASE_METHOD(crash_tracker_fixture, "crash_tracker_content_that_was_served_is_cleared")
{
    tracker.served(harmless, now);
    CHECK(tracker.was_served(harmless, now + 1s));
    CHECK_FALSE(tracker.was_served(crashing, now));
    CHECK_FALSE(tracker.was_served(harmless, now + 61s));
    crash_tracker asking;
    for (const std::uint64_t n : {1U, 2U, 3U}) {
        CHECK_FALSE(crash(harmless, n)); // Released on the node that served it.
        CHECK(asking.crashed(harmless, n, now) == (n == 3));
    }
    CHECK(asking.release(harmless));
    CHECK_FALSE(asking.quarantine_left(harmless, now + 1s));
    CHECK_FALSE(asking.crashed(harmless, 4, now));
}

// Guards against counting one crash twice, or crashes that are too far apart.
TEST_CASE_METHOD(crash_tracker_fixture, "crash_tracker_repeated_and_old_crashes_do_not_add_up")
{
    crash(crashing, 1);
    CHECK_FALSE(crash(crashing, 1));
    CHECK_FALSE(crash(crashing, 2));
    now += 601s;
    CHECK_FALSE(crash(crashing, 3));
    CHECK_FALSE(crash(crashing, 4));
    CHECK(crash(crashing, 5));
}

// Guards against three more crashes after each quarantine of a minute: each further crash doubles
// the quarantine.
TEST_CASE_METHOD(crash_tracker_fixture,
                 "crash_tracker_content_crashing_again_is_quarantined_for_longer")
{
    for (const std::uint64_t n : {1U, 2U, 3U}) {
        crash(crashing, n);
    }
    auto hold = 60s;
    for (std::uint64_t n = 4; n < 30; ++n) {
        CHECK(tracker.quarantine_left(crashing, now + hold - 1ms));
        CHECK_FALSE(tracker.quarantine_left(crashing, now + hold));
        now += hold;
        CHECK(crash(crashing, n));
        hold = std::min<std::chrono::seconds>(2 * hold, 600s);
    }
}

// Guards against access to a dropped content when several are served at the same time.
TEST_CASE("crash_tracker_contents_served_at_same_time_are_dropped_in_order")
{
    crash_tracker tracker({.served_capacity = 2});
    mono_time now{1h};
    for (const std::uint64_t content : {1U, 2U, 1U, 3U}) {
        tracker.served({content}, now);
    }
    for (int i = 0; i < 10; ++i) {
        now += 1ms;
        CHECK_NOTHROW(tracker.served({3}, now));
    }
    CHECK(tracker.was_served({3}, now));
}

// Guards against memory use that grows with the number of requests.
TEST_CASE_METHOD(crash_tracker_fixture, "crash_tracker_full_keeps_the_latest_contents")
{
    for (std::uint64_t i = 0; i < 60'000; ++i) {
        now += 1ms;
        tracker.served({i % 27'000}, now);
        crash({i + 100'000}, i);
    }
    CHECK(tracker.was_served({59'999 % 27'000}, now));
    CHECK_FALSE(tracker.was_served({(59'999 - 15'000) % 27'000}, now));
    // The oldest suspects are dropped.
    crash({100'000}, 1);
    crash({100'000}, 2);
    CHECK(crash({100'000}, 3));
}

// Guards against losing crash records when nodes are replaced. Each crash is seen by one of 12
// nodes, all nodes are replaced one after the other between the crashes, and in each round each
// node merges the records of one other node only.
TEST_CASE("crash_tracker_fleet_of_replaced_nodes_keeps_the_count")
{
    constexpr std::size_t fleet = 12;
    constexpr content_fingerprint crashing{17};
    std::vector<crash_tracker> nodes(fleet);
    mono_time now{1h};
    const auto report = [&](std::size_t from, std::size_t to) {
        for (const auto& c : nodes[from].crashes(now)) {
            nodes[to].merge(c, now);
        }
    };
    for (std::uint64_t n = 1; n <= 3; ++n) {
        nodes[n].crashed(crashing, n, now);
        report(n, n + 1); // All other messages about the crash are lost.
        for (std::size_t replaced = 0; replaced < fleet; ++replaced) {
            for (std::size_t i = 0; i < fleet; ++i) {
                now += 10ms;
                report((i + replaced + 1) % fleet, i);
            }
            nodes[replaced] = crash_tracker();
            report((replaced + 1) % fleet, replaced);
        }
    }
    for (std::size_t i = 0; i < fleet; ++i) {
        CHECK(nodes[i].quarantine_left(crashing, now));
        CHECK(nodes[i].digest(now) == nodes[0].digest(now));
    }
}

// Guards against a crash count that remains on one node although another node served the content.
TEST_CASE_METHOD(crash_tracker_fixture, "crash_tracker_release_wins_in_any_order")
{
    crash_tracker other;
    for (const std::uint64_t n : {1U, 2U, 3U}) {
        crash(harmless, n);
        other.crashed(harmless, n, now);
    }
    other.served(harmless, now);
    const auto before = tracker.crashes(now);
    for (const auto& c : other.crashes(now)) {
        tracker.merge(c, now);
    }
    for (const auto& c : before) {
        other.merge(c, now);
    }
    CHECK_FALSE(tracker.quarantine_left(harmless, now + 1s));
    CHECK_FALSE(other.quarantine_left(harmless, now + 1s));
    CHECK(tracker.digest(now) == other.digest(now));
}

// Guards against a content that is retried so rarely that its crashes are never counted together.
TEST_CASE_METHOD(crash_tracker_fixture, "crash_tracker_crashes_minutes_apart_add_up")
{
    CHECK_FALSE(crash(crashing, 1));
    now += 2min;
    CHECK_FALSE(crash(crashing, 2));
    now += 2min;
    CHECK(crash(crashing, 3));
}

// Guards against evicting a content that crashed two targets when many harmless ones are added.
TEST_CASE_METHOD(crash_tracker_fixture, "crash_tracker_keeps_the_content_with_most_crashes")
{
    crash(crashing, 1);
    crash(crashing, 2);
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        now += 1ms;
        crash({i + 100'000}, i + 10);
    }
    CHECK(crash(crashing, 3));
}
