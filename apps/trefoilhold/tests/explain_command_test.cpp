#include "request_trace.h"
#include "tool_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace trefoil;

namespace {

struct explain_fixture : trefoil_test::tool_fixture {
    explain_fixture()
    {
        std::ofstream(file("first.log"))
            << "I20261204 11:00:00.500000 17 log_event.cpp:42] event=call_sent_again id=ab12 "
               "reason=queue-full after_ms=972 target=i-1 sends=1\n"
            << "I20261204 11:00:00.600000 17 log_event.cpp:42] event=call_failed id=ab12 "
               "reason=deadline-passed after_ms=1045 lines_dropped=3\n"
            << "I20261204 11:00:00.700000 17 log_event.cpp:42] event=call_failed id=ab123 "
               "reason=deadline-passed\n"
            << "no event of ab12\n";
        std::ofstream(file("second.log"))
            << "I20261204 11:00:00.400000 9 log_event.cpp:42] event=call_turned_away id=ab12.1 "
               "waited_ms=972 note=\"a \\\"b\\\" c\"\n";
    }
};

} // namespace

// Guards against events in the wrong order, and events of another request whose id has the same
// prefix.
TEST_CASE_METHOD(explain_fixture, "explain_request_shows_its_events_and_calls_in_order_of_time")
{
    REQUIRE(run({"explain", "ab12", file("first.log"), file("second.log")}) == 0);
    const auto rejected = out.find("11:00:00.400000  second  call_turned_away id=ab12.1");
    const auto resent = out.find("11:00:00.500000  first  call_sent_again id=ab12 ");
    const auto failed = out.find("11:00:00.600000  first  call_failed id=ab12 ");
    REQUIRE(rejected != std::string::npos);
    REQUIRE(rejected < resent);
    REQUIRE(resent < failed);
    REQUIRE(failed != std::string::npos);
    REQUIRE(out.find("ab123") == std::string::npos);
    REQUIRE(out.find("    failed: its time was used up") != std::string::npos);
    REQUIRE(out.find("note=a \"b\" c") != std::string::npos);
    REQUIRE(err.find("dropped 3 lines") != std::string::npos);
}

// Guards against empty output that leaves open whether the request has no events or a log could not
// be read.
TEST_CASE_METHOD(explain_fixture,
                 "explain_without_events_prints_notice_and_missing_file_has_status_3")
{
    REQUIRE(run({"explain", "ff", file("second.log")}) == 0);
    REQUIRE(out.empty());
    REQUIRE(err.find("no line of ff") != std::string::npos);
    REQUIRE(run({"explain", "ff", file("none.log")}) == 3);
    REQUIRE(run({"explain", "ff"}) == 2);
    REQUIRE(run({"explain", "--json", "ab12", file("second.log")}) == 0);
    REQUIRE(out.find("\"event\":\"call_turned_away\"") != std::string::npos);
}

// Guards against a crash on damaged logs, and against lines that are ignored because a log
// collector put a prefix before them.
TEST_CASE("parse_log_line_of_arbitrary_text_parses_or_skips_it")
{
    const auto line = parse_log_line("12.3 sidecar-7: I20261204 11:00:00.000001 1 l.cpp:4] "
                                     "event=peer_lost peer=10.0.0.1:80");
    REQUIRE(line);
    REQUIRE(line->source == "12.3 sidecar-7:");
    REQUIRE(line->field("peer") == "10.0.0.1:80");
    REQUIRE(line->field("none").empty());
    REQUIRE(rc::check([](const std::string& text) {
        parse_log_line(text);
        parse_log_line("I20261204 11:00:00.000001 1 l.cpp:4] event=" + text);
    }));
}
