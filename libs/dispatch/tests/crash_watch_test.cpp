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
    CHECK(watch.due(now).empty());
    REQUIRE(watch.next_due());
    now = *watch.next_due();
    REQUIRE(watch.due(now) == std::vector{lethal});
    CHECK(watch.due(now).empty());
    watch.hold_back(lethal, watch.memory(), now);
    CHECK(watch.held_back(lethal, now) == 60s);
    CHECK_FALSE(watch.held_back(usual, now));
    CHECK_FALSE(watch.held_back(lethal, now + 60s));
}

// Guards against requests that are held back since they were running at the crashes of others.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_content_that_was_served_is_cleared")
{
    watch.served(usual, now);
    CHECK(watch.was_served(usual, now + 1s));
    CHECK_FALSE(watch.was_served(lethal, now));
    CHECK_FALSE(watch.was_served(usual, now + 61s));
    crash(usual, 1);
    crash(usual, 2);
    CHECK(crash(usual, 3));
    watch.cleared(usual);
    CHECK(watch.due(now + 1s).empty());
    CHECK_FALSE(crash(usual, 4));
}

// Guards against one crash that is told twice, or crashes long apart, as proof.
TEST_CASE_METHOD(crash_watch_fixture, "crash_watch_repeated_and_old_crashes_do_not_add_up")
{
    crash(lethal, 1);
    CHECK_FALSE(crash(lethal, 1));
    CHECK_FALSE(crash(lethal, 2));
    now += 61s;
    CHECK_FALSE(crash(lethal, 3));
    CHECK_FALSE(crash(lethal, 4));
    CHECK(crash(lethal, 5));
}

// Guards against a lookup of a content that was dropped: several are served at one moment.
TEST_CASE("crash_watch_contents_served_at_one_moment_are_dropped_in_order")
{
    crash_watch watch({.capacity = 2});
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
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        now += 1ms;
        watch.served({i % 9'000}, now);
        crash({i + 100'000}, i);
    }
    CHECK(watch.was_served({19'999 % 9'000}, now));
    CHECK_FALSE(watch.was_served({(19'999 - 5'000) % 9'000}, now));
    // The oldest suspects are dropped.
    crash({100'000}, 1);
    crash({100'000}, 2);
    CHECK(crash({100'000}, 3));
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
