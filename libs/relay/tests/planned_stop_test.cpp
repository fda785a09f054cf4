#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// Two entry nodes and two targets. Requests take as long as they may, which is more than half of
/// the grace time, so that those which are accepted late still run at its end.
struct planned_stop_fixture : relay_fixture {
    static constexpr auto timeout = 2500ms;

    vm* front = nullptr;
    vm* other_front = nullptr;
    std::vector<vm*> backs;
    /// Requests without an answer, each with the VM at which it entered and the one that runs it.
    std::map<std::string, std::set<const vm*>> pending;
    std::multiset<std::string> runs;
    std::map<std::string, unsigned> statuses;
    std::set<std::string> cut;
    std::set<const vm*> ended;
    int last_id = 0;

    planned_stop_fixture()
    {
        grace = 4s;
        front = &add_vm("front", "front", {});
        other_front = &add_vm("other", "front", {});
        for (const auto* id : {"back-1", "back-2"}) {
            auto& back = add_vm(id, "orders", {});
            back.target->set_respond([this, &back](const auto& r) {
                const std::string request(r["trefoil-request-id"]);
                runs.insert(request);
                pending[request].insert(&back);
                return reply{"", end::silent};
            });
            backs.push_back(&back);
        }
        publish(config_for("orders", false, config_version{1}, timeout),
                {{backs[0], "back-1"}, {backs[1], "back-2"}});
    }

    /// Stops a node. The end of its process would cut what is pending at it then.
    void stop(vm& v)
    {
        v.node->drain([this, &v] {
            ended.insert(&v);
            for (const auto& [id, involved] : pending) {
                if (involved.contains(&v)) {
                    cut.insert(id);
                }
            }
        });
    }

    /// A caller that sends one request after the other on a kept connection until it is closed.
    asio::awaitable<void> call_on(tcp::socket socket, const vm* at)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        while (!error && !ended.contains(at)) {
            const auto id = "id-" + std::to_string(++last_id);
            pending[id].insert(at);
            co_await asio::async_write(socket, asio::buffer(request_text(id)),
                                       asio::redirect_error(asio::use_awaitable, error));
            boost::beast::http::response_parser<boost::beast::http::string_body> parser;
            if (!error) {
                co_await boost::beast::http::async_read(
                    socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            }
            pending.erase(id);
            if (error) {
                cut.insert(id);
                break;
            }
            statuses[id] = parser.get().result_int();
            if (!parser.get().keep_alive()) {
                break;
            }
        }
    }

    void start_caller(const vm& at)
    {
        asio::co_spawn(context, call_on(connect(at.settings.outbound), &at), asio::detached);
    }

    /// Starts a caller at each node every 100 ms, and runs everything for this long.
    void press(std::chrono::milliseconds length, const std::vector<vm*>& nodes)
    {
        for (auto left = length; left > 0ms; left -= 100ms) {
            for (auto* v : nodes) {
                if (!ended.contains(v)) {
                    start_caller(*v);
                }
            }
            context.run_for(100ms);
            context.restart();
        }
    }

    /// Requests that a target ran and whose callers got no answer, or a false one.
    std::vector<std::string> misled() const
    {
        std::vector<std::string> found;
        for (const auto& id : runs) {
            const auto status = statuses.find(id);
            const bool is_refused = status != statuses.end() && status->second == 503;
            if (cut.contains(id) || is_refused || runs.count(id) > 1) {
                found.push_back(id);
            }
        }
        return found;
    }
};

} // namespace

// Guards against requests that a stopping entry node takes late in its grace time, and that are cut
// without an answer when its process ends.
TEST_CASE_METHOD(planned_stop_fixture, "planned_stop_of_an_entry_node_cuts_no_request")
{
    press(300ms, {front});
    stop(*front);
    press(grace, {front});
    run_until([this] { return ended.size() == 1; });
    CHECK_THAT(misled(), Catch::Equals(std::vector<std::string>()));
    CHECK(!statuses.empty());
}

// Guards against the same at the node beside the target.
TEST_CASE_METHOD(planned_stop_fixture, "planned_stop_of_a_target_node_cuts_no_request")
{
    press(300ms, {front, other_front});
    stop(*backs[0]);
    press(grace, {front, other_front});
    run_until([this] { return ended.size() == 1; });
    context.run_for(timeout);
    context.restart();
    CHECK_THAT(misled(), Catch::Equals(std::vector<std::string>()));
    CHECK(runs.size() > 10);
}

// Guards against the same when an entry node stops while a target's node is stopping.
TEST_CASE_METHOD(planned_stop_fixture, "planned_stop_of_two_nodes_that_overlap_cuts_no_request")
{
    press(300ms, {front, other_front});
    stop(*backs[0]);
    press(1s, {front, other_front});
    stop(*front);
    press(grace, {front, other_front});
    run_until([this] { return ended.size() == 2; });
    context.run_for(timeout);
    context.restart();
    CHECK_THAT(misled(), Catch::Equals(std::vector<std::string>()));
}
