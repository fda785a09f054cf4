#include "wire/parse_call.h"

#include "wire/call_headers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace trefoil;

struct call_fixture {
    std::map<std::string, std::string, std::less<>> headers{
        {std::string(call_headers::group), "hotel"}, {std::string(call_headers::kind), "browse"}};

    call_context parse(std::string_view target = "/call/vitrine/thread/7") const
    {
        return parse_call(target, [this](std::string_view name) -> std::optional<std::string_view> {
            const auto it = headers.find(name);
            return it == headers.end() ? std::nullopt : std::optional<std::string_view>(it->second);
        });
    }

    void set(std::string_view name, std::string value)
    {
        headers[std::string(name)] = std::move(value);
    }
};

// Guards against optional headers that become required, or get a value when they are absent.
TEST_CASE_METHOD(call_fixture, "call_with_required_headers_only_parses")
{
    const auto call = parse();
    REQUIRE(call.service.str() == "vitrine");
    REQUIRE(call.path == "/thread/7");
    REQUIRE_FALSE(call.id);
    REQUIRE_FALSE(call.attempt);
}

// Guards against a call without a group, which would not be counted in any group's fair share.
TEST_CASE_METHOD(call_fixture, "call_without_group_is_malformed")
{
    headers.erase(std::string(call_headers::group));
    REQUIRE_THROWS_AS(parse(), malformed_call);
}

// Guards against a call that is handled both as forwarded by a node and as made by an upstream.
TEST_CASE_METHOD(call_fixture, "call_with_target_and_parent_is_malformed")
{
    set(call_headers::request_id, "0190163d-8694-7d25-9c2a-1d0b4a0f9f55");
    set(call_headers::parent, "0190163d-8694-7d25-9c2a-1d0b4a0f9f56");
    set(call_headers::target, "vm-1");
    REQUIRE_THROWS_AS(parse(), malformed_call);
}

// Guards against untrusted input that crashes the parser or yields values above their limits.
TEST_CASE_METHOD(call_fixture, "call_with_arbitrary_header_values_parses_within_bounds_or_throws")
{
    REQUIRE(rc::check(
        [this](const std::string& target, const std::string& number, const std::string& id) {
            set(call_headers::deadline_ms, number);
            set(call_headers::attempt, number);
            set(call_headers::request_id, id);
            try {
                const auto call = parse("/call/" + target);
                RC_ASSERT(call.service.str().size() <= call_headers::max_name_length);
                RC_ASSERT(!call.time_left || *call.time_left <= call_headers::max_deadline);
            }
            catch (const malformed_call& e) {
                RC_ASSERT(!e.field().empty());
            }
        }));
}
