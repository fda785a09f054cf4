#include "base/request_id.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using trefoil::invalid_request_id;
using trefoil::request_id;
using trefoil::wall_time;

struct request_id_fixture {
    static constexpr std::uint64_t max_uuid_time_ms = (1ULL << 48U) - 1;
};

// Guards against a text form that loses bits: two requests would then have the same id.
TEST_CASE_METHOD(request_id_fixture, "request_id_any_parts_round_trips_through_text")
{
    REQUIRE(rc::check([](std::uint64_t time, std::uint64_t high, std::uint64_t low) {
        const wall_time created{std::chrono::milliseconds(time & max_uuid_time_ms)};
        const auto id = request_id::from_parts(created, high, low);
        RC_ASSERT(request_id::parse(id.to_string()) == id);
        RC_ASSERT(id.created_at() == created);
        RC_ASSERT(id.admit_point() >= 0.0);
        RC_ASSERT(id.admit_point() < 1.0);
    }));
}

// Guards against untrusted input that crashes the parser, throws another exception type or is
// accepted as an all-zero id.
TEST_CASE_METHOD(request_id_fixture,
                 "request_id_arbitrary_text_parses_or_throws_invalid_request_id")
{
    REQUIRE(rc::check([](const std::string& text) {
        try {
            RC_ASSERT(request_id::parse(text).to_string().size() == text.size());
        }
        catch (const invalid_request_id&) {
            RC_SUCCEED("rejected");
        }
    }));
}

TEST_CASE_METHOD(request_id_fixture, "request_id_of_other_uuid_version_is_rejected")
{
    REQUIRE_THROWS_AS(request_id::parse("0190163d-8694-4d25-9c2a-1d0b4a0f9f55"),
                      invalid_request_id);
}
