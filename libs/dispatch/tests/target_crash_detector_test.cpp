#include "dispatch/target_crash_detector.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using fingerprints = std::vector<std::uint64_t>;

struct target_crash_detector_fixture {
    target_crash_detector detector;
    mono_time now{1h};
    const target_id first{"t-1", 100};
    const target_id again{"t-1", 200};
    const target_id other{"t-2", 300};

    target_crash_detector_fixture() { detector.record_present(first, false, now); }

    void start(std::uint64_t ticket)
    {
        detector.record_started(ticket, {{ticket}, {ticket}, {ticket}}, now);
    }

    static fingerprints fingerprints_of(const target_crash_detector::request_fingerprints& requests)
    {
        fingerprints result;
        for (const auto& c : requests) {
            result.push_back(c.request.value);
        }
        return result;
    }
};

} // namespace

// Guards against missing the crash of a target that stops responding without closing its
// connections.
TEST_CASE_METHOD(target_crash_detector_fixture,
                 "target_crash_detector_silent_target_is_probed_once")
{
    CHECK_FALSE(detector.should_probe(now + 1h)); // No request is running.
    start(1);
    CHECK_FALSE(detector.should_probe(now + 1s));
    CHECK(detector.should_probe(now + 1001ms));
    CHECK_FALSE(detector.should_probe(now + 2s));
    detector.record_answered(1, now);
    start(2);
    now += 100ms;
    detector.record_unanswered(2, now);
    now += 1s;
    CHECK(detector.should_probe(now));
    CHECK(fingerprints_of(detector.record_terminated(now)) == fingerprints{2});
    CHECK(detector.record_terminated(now).empty());
}

// Guards against probing an idle target in every pause after a caller cancelled a request.
TEST_CASE_METHOD(target_crash_detector_fixture,
                 "target_crash_detector_target_that_answered_since_is_not_probed")
{
    start(1);
    start(2);
    detector.record_unanswered(1, now + 10ms);
    detector.record_answered(2, now + 20ms);
    CHECK_FALSE(detector.should_probe(now + 5s));
    detector.record_unanswered(3, now + 6s); // An unknown ticket, which is ignored.
    CHECK_FALSE(detector.should_probe(now + 10s));
    CHECK(fingerprints_of(detector.record_terminated(now + 10s)) == fingerprints{1});
}

// Guards against missing a crash because the target restarts before it is probed.
TEST_CASE_METHOD(target_crash_detector_fixture,
                 "target_crash_detector_restarted_target_counts_as_crashed")
{
    start(1);
    start(2);
    start(3);
    detector.record_answered(2, now);
    detector.record_unanswered(1, now + 10ms);
    now += 4s;
    start(4); // May already run on the restarted target.
    SECTION("under its id")
    {
        CHECK(fingerprints_of(detector.record_present(again, false, now)) == fingerprints{1, 3});
    }
    SECTION("under another id, also when the entry of the earlier one comes late")
    {
        CHECK(fingerprints_of(detector.record_present(other, false, now)) == fingerprints{1, 3});
        CHECK(detector.record_present(first, false, now + 2s).empty());
        CHECK(detector.record_present(other, false, now + 2s).empty());
    }
    detector.record_unanswered(3, now + 1s);
    CHECK(fingerprints_of(detector.record_terminated(now + 5s)) == fingerprints{4});
}

// Guards against counting planned shutdowns of targets as crashes.
TEST_CASE_METHOD(target_crash_detector_fixture,
                 "target_crash_detector_leaving_target_that_ends_is_no_crash")
{
    start(1);
    detector.record_present(first, true, now);
    now += 3s;
    CHECK(detector.record_present(other, false, now).empty());
    CHECK(detector.record_terminated(now).empty());
}

// Guards against attributing a crash to requests that ended long before it.
TEST_CASE_METHOD(target_crash_detector_fixture,
                 "target_crash_detector_old_unanswered_requests_are_dropped")
{
    start(1);
    detector.record_unanswered(1, now);
    CHECK(detector.record_present(again, false, now + 11s).empty());
}

// Guards against detecting a restart twice when the id is known before the entry with its start.
TEST_CASE_METHOD(target_crash_detector_fixture,
                 "target_crash_detector_id_without_start_is_one_target")
{
    start(1);
    now += 3s;
    CHECK(fingerprints_of(detector.record_present({"t-2", 0}, false, now)) == fingerprints{1});
    start(2);
    now += 3s;
    CHECK(detector.record_present(other, false, now).empty());
}

// Guards against dropping the request that crashed the target from a report that is too long.
TEST_CASE_METHOD(target_crash_detector_fixture,
                 "target_crash_detector_latest_unanswered_request_comes_first")
{
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        start(i);
        now += 1ms;
        detector.record_unanswered(i, now);
    }
    const auto crashed = fingerprints_of(detector.record_terminated(now));
    CHECK(crashed.size() == 512);
    CHECK(crashed.front() == 1000);
}
