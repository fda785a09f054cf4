#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// A target that restarted with the id "new" while the nodes know it as "old".
struct renamed_target_fixture : relay_fixture {
    vm& front = add_vm("front", "front", [](const auto&) { return reply{}; });
    vm& back = add_vm("back", "orders", [](const auto& r) { return respond(r); });

    renamed_target_fixture()
    {
        auto config = config_for("orders", false);
        config.status_paths[service_name("orders")] = "/status";
        publish(config, {{&back, "old"}});
    }

    static reply respond(const stand_in_target::request& r)
    {
        if (r.target() == "/status") {
            return {"HTTP/1.1 200 OK\r\ntrefoil-target-id: new\r\nContent-Length: 0\r\n\r\n",
                    end::keep};
        }
        if (r["trefoil-target"] != "new") {
            return {"HTTP/1.1 421 Misdirected\r\ntrefoil-request-id: " +
                        std::string(r["trefoil-request-id"]) + "\r\nContent-Length: 0\r\n\r\n",
                    end::keep};
        }
        return {stand_in_target::answer(r, "done"), end::keep};
    }

    std::ptrdiff_t count(const std::string& target) const
    {
        return std::ranges::count_if(back.target->requests(),
                                     [&](const auto& r) { return r.target() == target; });
    }
};

} // namespace

// Guards against an outage of seconds after all targets restarted with new ids.
TEST_CASE_METHOD(renamed_target_fixture, "relay_target_with_new_id_is_asked_once_and_used")
{
    CHECK(ask(front.settings.outbound, request_text("id-1")).body() == "done");
    CHECK(ask(front.settings.outbound, request_text("id-2")).body() == "done");
    CHECK(count("/status") == 1);
    // The first was refused once; the second was not.
    CHECK(count("/work/1?x=2") == 3);
}

// Guards against running a request at a target of another service that was given the address of the
// requested target.
TEST_CASE_METHOD(renamed_target_fixture, "relay_address_of_other_service_is_not_used")
{
    auto other = entry_of(back, "new");
    other.service = service_name("billing");
    back.node->put_target(other);
    CHECK(ask(front.settings.outbound, request_text("id-1")).result_int() == 503);
    CHECK(count("/work/1?x=2") == 1);
}
