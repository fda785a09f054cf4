#include "dispatch/content_fingerprints.h"

#include <catch2/catch.hpp>

#include <set>

using namespace trefoil;

namespace {

struct content_fingerprints_fixture {
    content_parts parts{"GET", "shop.example", "/work/1?page=2", "body", "front"};
    const content_fingerprints first = fingerprints_of(parts);
};

} // namespace

// Guards against not recognizing a crashing request when it differs in a detail.
TEST_CASE_METHOD(content_fingerprints_fixture,
                 "content_fingerprints_other_detail_changes_request_fingerprint_only")
{
    SECTION("method")
    {
        parts.method = "PUT";
    }
    SECTION("host")
    {
        parts.host = "other.example";
    }
    SECTION("query")
    {
        parts.target = "/work/1?page=3";
    }
    const auto other = fingerprints_of(parts);
    CHECK(other.path == first.path);
    CHECK(other.path_and_caller == first.path_and_caller);
    CHECK(other.request != first.request);
}

TEST_CASE_METHOD(content_fingerprints_fixture,
                 "content_fingerprints_other_caller_differs_in_one_fingerprint")
{
    parts.caller_service = "orders";
    const auto other = fingerprints_of(parts);
    CHECK(other.request == first.request);
    CHECK(other.path == first.path);
    CHECK(other.path_and_caller != first.path_and_caller);
}

// Guards against quarantining harmless requests together with a crashing one.
TEST_CASE_METHOD(content_fingerprints_fixture,
                 "content_fingerprints_other_path_or_body_shares_nothing")
{
    SECTION("path")
    {
        parts.target = "/work/2?page=2";
    }
    SECTION("body")
    {
        parts.body = "other";
    }
    SECTION("bytes moved between parts")
    {
        parts.target = "/work/1b?page=2";
        parts.body = "ody";
    }
    std::set<content_fingerprint> all;
    for (const auto& fingerprints : {first.all(), fingerprints_of(parts).all()}) {
        all.insert(fingerprints.begin(), fingerprints.end());
    }
    CHECK(all.size() == 6);
}
