#include "dispatch/running_requests.h"

#include <catch2/catch.hpp>

using namespace trefoil;

namespace {

struct running_requests_fixture {
    running_requests requests{'.'};

    /// Runs a request of route 1 that makes four successful calls.
    void run_to_success(const std::string& id)
    {
        requests.start(id, {1});
        for (const auto* call : {".1", ".2", ".3", ".4"}) {
            requests.record_call(id + call);
            requests.record_call_succeeded(id + call);
        }
        requests.end(id, true);
    }
};

} // namespace

// Guards against taking requests of callers for calls, which are admitted without a limit.
TEST_CASE_METHOD(running_requests_fixture, "running_requests_only_calls_of_running_ones_are_calls")
{
    requests.start("a.1", {1});
    CHECK(requests.is_call("a.1.7"));
    CHECK_FALSE(requests.is_call("a.1"));
    CHECK_FALSE(requests.is_call("b"));
    requests.end("a.1", false);
    CHECK_FALSE(requests.is_call("a.1.7"));
}

// Guards against retries for a call that is followed by many others, as if it were the last one.
TEST_CASE_METHOD(running_requests_fixture, "running_requests_other_calls_shrink_as_calls_succeed")
{
    run_to_success("a");
    requests.start("b", {1});
    CHECK(requests.other_calls(*requests.record_call("b.1")) == 3.0);
    requests.record_call_succeeded("b.1");
    CHECK(requests.other_calls(*requests.record_call("b.2")) == 2.0);
}

// Guards against learning from requests that failed, which make fewer calls.
TEST_CASE_METHOD(running_requests_fixture, "running_requests_failed_request_teaches_nothing")
{
    run_to_success("a");
    requests.start("b", {1});
    requests.record_call("b.1");
    requests.end("b", false);
    requests.start("c", {1});
    CHECK(requests.other_calls(*requests.record_call("c.1")) == 3.0);
}
