#include "input_barrier.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

using namespace trefoil;

namespace {

struct input_barrier_fixture {
    asio::io_context context{1};
    int runs = 0;
    input_barrier barrier{context, [this] { ++runs; }};

    /// Requests a run in each of the next turns of the event loop.
    void request_in_turns(int turns)
    {
        barrier.request();
        if (turns > 1) {
            asio::post(context, [this, turns] { request_in_turns(turns - 1); });
        }
    }
};

} // namespace

// Guards against an action that runs before the events that are already queued, for example the
// cancellation behind a call.
TEST_CASE_METHOD(input_barrier_fixture, "input_barrier_queued_events_come_first")
{
    int runs_before_event = -1;
    asio::post(context, [this] { barrier.request(); });
    asio::post(context, [&] { runs_before_event = runs; });
    context.run();
    CHECK(runs_before_event == 0);
    CHECK(runs == 1);
}

// Guards against one run per request under load.
TEST_CASE_METHOD(input_barrier_fixture, "input_barrier_requests_of_successive_turns_share_a_run")
{
    request_in_turns(5);
    context.run();
    CHECK(runs == 1);
}

// Guards against an action that never runs while requests come in without end.
TEST_CASE_METHOD(input_barrier_fixture, "input_barrier_endless_requests_do_not_starve_the_action")
{
    request_in_turns(1000);
    context.run();
    CHECK(runs >= 50);
}
