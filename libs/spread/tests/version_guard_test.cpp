#include "spread/version_guard.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace std::chrono_literals;
using trefoil::config_version;
using trefoil::content_digest;
using trefoil::mono_time;
using trefoil::version_result;
using trefoil::version_source;
using trefoil::version_state;

struct version_guard_fixture {
    static constexpr mono_time start{100s};
    static constexpr content_digest text{7};
    static constexpr content_digest other_text{8};
    trefoil::version_guard<config_version> guard{start};

    version_result offer(std::uint64_t version, content_digest digest, version_source source,
                         std::chrono::seconds after)
    {
        return guard.offer({version}, digest, digest, source, start + after);
    }
};

// Guards against a version that decreases, or a text that changes under its version.
TEST_CASE_METHOD(version_guard_fixture,
                 "version_guard_under_any_offers_only_grows_and_keeps_one_text")
{
    REQUIRE(rc::check([] {
        trefoil::version_guard<config_version> any_guard(start);
        std::map<std::uint64_t, content_digest> accepted;
        auto now = start;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += *rc::gen::inRange(0, 5000) * 1ms;
            const config_version version{*rc::gen::inRange<std::uint64_t>(0, 6)};
            const content_digest stated{*rc::gen::inRange<std::uint64_t>(1, 4)};
            const content_digest actual{*rc::gen::inRange<std::uint64_t>(1, 4)};
            const auto before = any_guard.in_force();
            if (*rc::gen::arbitrary<bool>()) {
                any_guard.peer_reported(version, stated, now);
                RC_ASSERT(any_guard.in_force() == before);
                continue;
            }
            const auto source = *rc::gen::element(version_source::platform, version_source::peer);
            if (any_guard.offer(version, stated, actual, source, now) == version_result::accepted) {
                RC_ASSERT(any_guard.in_force() > before);
                RC_ASSERT(stated == actual);
                RC_ASSERT(accepted.emplace(version.value, actual).second);
            }
            else {
                RC_ASSERT(any_guard.in_force() == before);
            }
        }
    }));
}

// Guards against accepting a bundle that was corrupted in transit.
TEST_CASE_METHOD(version_guard_fixture,
                 "version_guard_text_with_another_digest_is_refused_and_counted")
{
    REQUIRE(guard.offer({3}, text, other_text, version_source::peer, start) ==
            version_result::wrong_digest);
    REQUIRE(guard.count(version_result::wrong_digest) == 1);
    REQUIRE(guard.state() == version_state::starting);
}

// Guards against different texts in force under one version without any report of it.
TEST_CASE_METHOD(version_guard_fixture,
                 "version_guard_two_texts_under_one_version_are_refused_and_counted")
{
    REQUIRE(offer(3, text, version_source::peer, 0s) == version_result::accepted);
    REQUIRE(offer(3, other_text, version_source::platform, 1s) == version_result::conflicting);
    guard.peer_reported({3}, other_text, start + 2s);
    REQUIRE(guard.count(version_result::conflicting) == 2);
    REQUIRE(guard.digest() == text);
}

// Guards against a restarted node that reverts to the version of a stale platform.
TEST_CASE_METHOD(version_guard_fixture,
                 "version_guard_starting_waits_for_a_peer_and_keeps_to_its_version")
{
    REQUIRE(offer(2, text, version_source::platform, 1s) == version_result::waiting);
    guard.peer_reported({0}, {}, start + 1s);
    REQUIRE(offer(2, text, version_source::platform, 2s) == version_result::waiting);
    guard.peer_reported({3}, other_text, start + 2s);
    REQUIRE(guard.is_behind(start + 2s));
    REQUIRE(offer(2, text, version_source::platform, 20s) == version_result::older_than_reported);
    REQUIRE(offer(3, other_text, version_source::peer, 21s) == version_result::accepted);
    REQUIRE(guard.state() == version_state::in_force);
}

// Guards against a node that never leaves the state `starting`, because no peer answers or because
// all nodes that had the reported version have terminated.
TEST_CASE_METHOD(version_guard_fixture,
                 "version_guard_starting_without_holders_takes_the_platforms_version")
{
    REQUIRE(offer(2, text, version_source::platform, 4s) == version_result::waiting);
    SECTION("no peer answered for 5 s")
    {
        REQUIRE(offer(2, text, version_source::platform, 5s) == version_result::accepted);
    }
    SECTION("the higher version was not reported for 30 s")
    {
        guard.peer_reported({3}, other_text, start + 4s);
        REQUIRE(offer(2, text, version_source::platform, 34s) == version_result::accepted);
    }
}

// Guards against fetching a bundle that failed validation again every second.
TEST_CASE_METHOD(version_guard_fixture,
                 "version_guard_refused_version_is_not_fetched_or_watched_again")
{
    REQUIRE(offer(1, text, version_source::peer, 0s) == version_result::accepted);
    guard.peer_reported({2}, other_text, start);
    REQUIRE(guard.is_behind(start));
    guard.refuse({2}, other_text);
    REQUIRE_FALSE(guard.is_behind(start));
    REQUIRE(guard.watch_after() == config_version{2});
    guard.peer_reported({3}, text, start);
    REQUIRE(guard.is_behind(start));
}
