#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// A node for callers and several whose targets crash on a certain path.
struct crashing_content_fixture : relay_fixture {
    static constexpr std::size_t targets = 5;

    vm* front = nullptr;
    std::vector<vm*> backs;
    std::size_t crashes = 0;
    std::set<std::string> lethal{"/work/lethal"};

    crashing_content_fixture()
    {
        front = &add_vm("front", "front", [](const auto&) { return reply{}; });
        std::vector<std::pair<vm*, std::string>> published{{front, "front"}};
        for (std::size_t i = 0; i < targets; ++i) {
            const auto id = "back-" + std::to_string(i);
            auto& back = add_vm(id, "orders", {});
            back.target->set_respond([this, &back](const auto& r) { return respond(back, r); });
            backs.push_back(&back);
            published.emplace_back(&back, id);
        }
        publish(config_for("orders", false), published);
    }

    reply respond(vm& back, const stand_in_target::request& r)
    {
        if (lethal.contains(std::string(r.target()))) {
            ++crashes;
            back.target->crash();
            return {"", end::reset};
        }
        return {stand_in_target::answer(r, "done"), end::keep};
    }

    answer ask(const std::string& path)
    {
        auto got = relay_fixture::ask(
            front->settings.outbound,
            request_text("id-" + std::to_string(++last_id_), {}, "GET " + path + " HTTP/1.1"));
        context.run_for(500ms); // Longer than the nodes take to tell each other.
        context.restart();
        return got;
    }

    void revive()
    {
        for (auto* const back : backs) {
            back->target->listen();
        }
    }

private:
    int last_id_ = 0;
};

} // namespace

// Guards against a request that takes down one target after the other, each time it comes again.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_is_held_back_after_three_crashes")
{
    for (int i = 0; i < 3; ++i) {
        CHECK(ask("/work/lethal").result_int() == 502);
        revive();
    }
    CHECK(crashes == 3);
    for (int i = 0; i < 4; ++i) {
        const auto got = ask("/work/lethal");
        CHECK(got.result_int() == 503);
        CHECK(std::stod(std::string(got["Retry-After"])) > 30.0);
    }
    CHECK(crashes == 3);
    CHECK(ask("/work/other").body() == "done");
}

// Guards against usual requests that are held back since they ran when targets crashed.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_that_was_served_elsewhere_goes_on")
{
    CHECK(ask("/work/usual").body() == "done");
    lethal.insert("/work/usual");
    for (int i = 0; i < 4; ++i) {
        CHECK(ask("/work/usual").result_int() == 502);
        revive();
    }
    lethal.clear();
    CHECK(ask("/work/usual").body() == "done");
}

// Guards against connections that targets only end, taken for crashes.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_reset_connections_are_no_crashes")
{
    for (auto* const back : backs) {
        back->target->set_respond([](const auto&) { return reply{"", end::reset}; });
    }
    for (int i = 0; i < 4; ++i) {
        CHECK(ask("/work/reset").result_int() == 502);
    }
}
