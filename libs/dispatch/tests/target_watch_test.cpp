#include "dispatch/target_watch.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using numbers = std::vector<std::uint64_t>;

struct target_watch_fixture {
    target_watch watch;
    mono_time now{1h};
    const target_id first{"t-1", 100};
    const target_id again{"t-1", 200};
    const target_id other{"t-2", 300};

    target_watch_fixture() { watch.seen(first, false, now); }

    void start(std::uint64_t ticket) { watch.started(ticket, {{ticket}, {ticket}, {ticket}}, now); }

    static std::vector<std::uint64_t> numbers_of(const target_watch::contents& contents)
    {
        std::vector<std::uint64_t> result;
        for (const auto& c : contents) {
            result.push_back(c.request.value);
        }
        return result;
    }
};

} // namespace

// Guards against a crash that goes unseen since the target fell silent, and with it all its
// requests.
TEST_CASE_METHOD(target_watch_fixture, "target_watch_silent_target_is_looked_at_once")
{
    CHECK_FALSE(watch.is_silent(now + 1h)); // It has nothing to say.
    start(1);
    CHECK_FALSE(watch.is_silent(now + 1s));
    CHECK(watch.is_silent(now + 1001ms));
    CHECK_FALSE(watch.is_silent(now + 2s));
    watch.answered(1, now);
    start(2);
    now += 100ms;
    watch.unanswered(2, now);
    now += 1s;
    CHECK(watch.is_silent(now));
    CHECK(numbers_of(watch.gone(now)) == numbers{2});
    CHECK(watch.gone(now).empty());
}

// Guards against a connection to an idle target for each pause after a caller once gave up.
TEST_CASE_METHOD(target_watch_fixture, "target_watch_target_that_answered_since_is_not_looked_at")
{
    start(1);
    start(2);
    watch.unanswered(1, now + 10ms);
    watch.answered(2, now + 20ms);
    CHECK_FALSE(watch.is_silent(now + 5s));
    watch.unanswered(3, now + 6s); // Not known, so that it says nothing of the target.
    CHECK_FALSE(watch.is_silent(now + 10s));
    CHECK(numbers_of(watch.gone(now + 10s)) == numbers{1});
}

// Guards against a crash that goes unseen since the target is back before anybody looks.
TEST_CASE_METHOD(target_watch_fixture, "target_watch_target_that_started_again_had_crashed")
{
    start(1);
    start(2);
    start(3);
    watch.answered(2, now);
    watch.unanswered(1, now + 10ms);
    now += 4s;
    start(4); // With the new target already.
    SECTION("under its id")
    {
        CHECK(numbers_of(watch.seen(again, false, now)) == numbers{1, 3});
    }
    SECTION("under another id, also when the entry of the earlier one comes late")
    {
        CHECK(numbers_of(watch.seen(other, false, now)) == numbers{1, 3});
        CHECK(watch.seen(first, false, now + 2s).empty());
        CHECK(watch.seen(other, false, now + 2s).empty());
    }
    watch.unanswered(3, now + 1s);
    CHECK(numbers_of(watch.gone(now + 5s)) == numbers{4});
}

// Guards against planned ends of targets that count as crashes.
TEST_CASE_METHOD(target_watch_fixture, "target_watch_target_that_announced_its_end_is_no_crash")
{
    start(1);
    watch.seen(first, true, now);
    now += 3s;
    CHECK(watch.seen(other, false, now).empty());
    CHECK(watch.gone(now).empty());
}

// Guards against requests that a crash is put down to long after they ended.
TEST_CASE_METHOD(target_watch_fixture, "target_watch_unanswered_requests_are_forgotten")
{
    start(1);
    watch.unanswered(1, now);
    CHECK(watch.seen(again, false, now + 11s).empty());
}

// Guards against a restart that is taken for one since the id was known before the entry.
TEST_CASE_METHOD(target_watch_fixture, "target_watch_id_without_start_is_one_target")
{
    start(1);
    now += 3s;
    CHECK(numbers_of(watch.seen({"t-2", 0}, false, now)) == numbers{1});
    start(2);
    now += 3s;
    CHECK(watch.seen(other, false, now).empty());
}

// Guards against the request that crashed the target, cut from a report that is too long.
TEST_CASE_METHOD(target_watch_fixture, "target_watch_latest_unanswered_request_comes_first")
{
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        start(i);
        now += 1ms;
        watch.unanswered(i, now);
    }
    const auto crashed = numbers_of(watch.gone(now));
    CHECK(crashed.size() == 512);
    CHECK(crashed.front() == 1000);
}
