#include "dispatch/content_scopes.h"

#include <catch2/catch.hpp>

#include <set>

using namespace trefoil;

namespace {

struct content_scopes_fixture {
    content_parts parts{"GET", "shop.example", "/work/1?page=2", "body", "front"};
    const content_scopes first = scopes_of(parts);
};

} // namespace

// Guards against not recognizing a crashing request when it differs in a detail.
TEST_CASE_METHOD(content_scopes_fixture, "content_scopes_other_detail_changes_request_scope_only")
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
    const auto other = scopes_of(parts);
    CHECK(other.path == first.path);
    CHECK(other.path_and_caller == first.path_and_caller);
    CHECK(other.request != first.request);
}

TEST_CASE_METHOD(content_scopes_fixture, "content_scopes_other_caller_differs_in_one_scope")
{
    parts.caller_service = "orders";
    const auto other = scopes_of(parts);
    CHECK(other.request == first.request);
    CHECK(other.path == first.path);
    CHECK(other.path_and_caller != first.path_and_caller);
}

// Guards against quarantining harmless requests together with a crashing one.
TEST_CASE_METHOD(content_scopes_fixture, "content_scopes_other_path_or_body_shares_nothing")
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
    for (const auto& scopes : {first.all(), scopes_of(parts).all()}) {
        all.insert(scopes.begin(), scopes.end());
    }
    CHECK(all.size() == 6);
}
