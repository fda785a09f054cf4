#include "base/log_event.h"

#include <catch2/catch.hpp>

struct log_event_fixture {
    trefoil::log_event event{"call_refused"};
};

// Guards against values that break the line format: an unquoted space or a line break in a value
// makes a key=value parser split the event in the wrong place.
TEST_CASE_METHOD(log_event_fixture, "log_event_value_with_space_and_newline_is_one_quoted_field")
{
    event.add("reason", "queue full\nnow").add("count", 3);
    REQUIRE(event.line() == "event=call_refused reason=\"queue full now\" count=3");
}
