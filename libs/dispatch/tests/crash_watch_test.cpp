#include "dispatch/crash_watch.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

struct crash_watch_fixture {
    crash_watch watch;
    mono_time now{1h};
    content_fingerprint lethal{17};
    content_fingerprint usual{18};

    bool crash(content_fingerprint content, std::uint64_t number)
    {
        return watch.crashed(content, number, now);
    }
};

} // namespace

// Guards against a request that takes one target after the other down.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_content_of_three_crashes_is_held_back")
{
    CHECK_FALSE(crash(lethal, 1));
    CHECK_FALSE(crash(lethal, 2));
    CHECK(crash(lethal, 3));
    CHECK_FALSE(watch.held_back(lethal, now + 299ms)); // Others may say that they served it.
    CHECK(watch.held_back(lethal, now + 300ms) == 59'700ms);
    CHECK_FALSE(watch.held_back(usual, now + 300ms));
    CHECK_FALSE(watch.held_back(lethal, now + 60s));
}

// Guards against requests that are held back since they were running at the crashes of others.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_content_that_was_served_is_cleared")
{
    watch.served(usual, now);
    CHECK(watch.was_served(usual, now + 1s));
    CHECK_FALSE(watch.was_served(lethal, now));
    CHECK_FALSE(watch.was_served(usual, now + 61s));
    crash_watch asking;
    for (const std::uint64_t n : {1U, 2U, 3U}) {
        CHECK_FALSE(crash(usual, n)); // Not where it was served.
        CHECK(asking.crashed(usual, n, now) == (n == 3));
    }
    CHECK(asking.release(usual));
    CHECK_FALSE(asking.held_back(usual, now + 1s));
    CHECK_FALSE(asking.crashed(usual, 4, now));
}

// Guards against one crash that is told twice, or crashes long apart, as proof.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_repeated_and_old_crashes_do_not_add_up")
{
    crash(lethal, 1);
    CHECK_FALSE(crash(lethal, 1));
    CHECK_FALSE(crash(lethal, 2));
    now += 601s;
    CHECK_FALSE(crash(lethal, 3));
    CHECK_FALSE(crash(lethal, 4));
    CHECK(crash(lethal, 5));
}

// Guards against three more crashes each time that a content was held back for a minute.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_content_tried_again_is_held_back_for_longer")
{
    for (const std::uint64_t n : {1U, 2U, 3U}) {
        crash(lethal, n);
    }
    auto hold = 60s;
    for (std::uint64_t n = 4; n < 30; ++n) {
        CHECK(watch.held_back(lethal, now + hold - 1ms));
        CHECK_FALSE(watch.held_back(lethal, now + hold));
        now += hold;
        CHECK(crash(lethal, n));
        hold = std::min<std::chrono::seconds>(2 * hold, 600s);
    }
}

// Guards against a lookup of a content that was dropped: several are served at one moment.
TEST_CASE("crash_watch_contents_served_at_one_moment_are_dropped_in_order")
{
    crash_watch watch({.served_capacity = 2});
    mono_time now{1h};
    for (const std::uint64_t content : {1U, 2U, 1U, 3U}) {
        watch.served({content}, now);
    }
    for (int i = 0; i < 10; ++i) {
        now += 1ms;
        CHECK_NOTHROW(watch.served({3}, now));
    }
    CHECK(watch.was_served({3}, now));
}

// Guards against memory that grows with the requests.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_remembers_the_latest_within_its_bound")
{
    for (std::uint64_t i = 0; i < 60'000; ++i) {
        now += 1ms;
        watch.served({i % 27'000}, now);
        crash({i + 100'000}, i);
    }
    CHECK(watch.was_served({59'999 % 27'000}, now));
    CHECK_FALSE(watch.was_served({(59'999 - 15'000) % 27'000}, now));
    // The oldest suspects are dropped.
    crash({100'000}, 1);
    crash({100'000}, 2);
    CHECK(crash({100'000}, 3));
}

// Guards against knowledge that is lost with some nodes: 12 nodes, one of which sees each crash;
// the nodes are replaced one after the other between the crashes, and each compares with one other
// only.
TEST_CASE("crash_watch_fleet_of_replaced_nodes_keeps_the_count")
{
    constexpr std::size_t fleet = 12;
    constexpr content_fingerprint lethal{17};
    std::vector<crash_watch> nodes(fleet);
    mono_time now{1h};
    const auto tell = [&](std::size_t from, std::size_t to) {
        for (const auto& c : nodes[from].crashes(now)) {
            nodes[to].merge(c, now);
        }
    };
    for (std::uint64_t n = 1; n <= 3; ++n) {
        nodes[n].crashed(lethal, n, now);
        tell(n, n + 1); // All other messages of the crash are lost.
        for (std::size_t replaced = 0; replaced < fleet; ++replaced) {
            for (std::size_t i = 0; i < fleet; ++i) {
                now += 10ms;
                tell((i + replaced + 1) % fleet, i);
            }
            nodes[replaced] = crash_watch();
            tell((replaced + 1) % fleet, replaced);
        }
    }
    for (std::size_t i = 0; i < fleet; ++i) {
        CHECK(nodes[i].held_back(lethal, now));
        CHECK(nodes[i].digest(now) == nodes[0].digest(now));
    }
}

// Guards against the count of one node that outlives the service which another node saw.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_release_wins_in_any_order")
{
    crash_watch other;
    for (const std::uint64_t n : {1U, 2U, 3U}) {
        crash(usual, n);
        other.crashed(usual, n, now);
    }
    other.served(usual, now);
    const auto before = watch.crashes(now);
    for (const auto& c : other.crashes(now)) {
        watch.merge(c, now);
    }
    for (const auto& c : before) {
        other.merge(c, now);
    }
    CHECK_FALSE(watch.held_back(usual, now + 1s));
    CHECK_FALSE(other.held_back(usual, now + 1s));
    CHECK(watch.digest(now) == other.digest(now));
}

// Guards against a content that its callers send again so rarely that its crashes never add up.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_crashes_minutes_apart_add_up")
{
    CHECK_FALSE(crash(lethal, 1));
    now += 2min;
    CHECK_FALSE(crash(lethal, 2));
    now += 2min;
    CHECK(crash(lethal, 3));
}

// Guards against many innocent contents that push out the one which crashed two targets.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_keeps_the_content_with_most_crashes")
{
    crash(lethal, 1);
    crash(lethal, 2);
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        now += 1ms;
        crash({i + 100'000}, i + 10);
    }
    CHECK(crash(lethal, 3));
}
