#include "relay_fixture.h"
#include "stand_in_node.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

/// A node whose peer pauses for longer than the time after which a connection counts as silent, but
/// for less than the deadline of the requests that it runs.
struct silent_node_fixture : relay_fixture {
    static constexpr auto pause_time = 2500ms;

    vm& front = add_vm("front", "front", [](const auto&) { return stand_in_target::reply{}; });
    const asio::ip::address silent_address = asio::ip::make_address("127.0.0.9");
    stand_in_node silent{
        context, {silent_address, front.settings.inbound.port()}, [](std::size_t request) {
            return request == 0 ? std::chrono::milliseconds(pause_time) : 0ms;
        }};

    silent_node_fixture()
    {
        front.node->set_config(config_for("orders", false));
        auto entry = entry_of(front, "silent");
        entry.service = service_name("orders");
        entry.address = silent_address.to_string();
        front.node->put_target(entry);
    }
};

} // namespace

// Guards against reporting a non-idempotent request as lost while its machine is only paused.
TEST_CASE_METHOD(silent_node_fixture, "relay_silent_peer_unrepeatable_work_is_awaited")
{
    CHECK(ask(front.settings.outbound, request_text("id-1")).result_int() == 200);
    CHECK(silent.requests() == 1);
}

// Guards against sending new requests on a connection that may never answer again.
TEST_CASE_METHOD(silent_node_fixture, "relay_silent_connection_new_requests_use_another")
{
    auto first = connect(front.settings.outbound);
    asio::write(first, asio::buffer(request_text("id-1")));
    run_until([this] { return silent.requests() == 1; });
    context.run_for(2200ms);
    context.restart();
    CHECK(ask(front.settings.outbound, request_text("id-2")).result_int() == 200);
    CHECK(silent.connections() == 2);
    CHECK(read_answer(first).result_int() == 200);
}
