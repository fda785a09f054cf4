#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// One node for callers, and several nodes whose targets crash on certain paths.
struct crashing_content_fixture : relay_fixture {
    static constexpr std::size_t targets = 5;
    /// Longer than the nodes need to report a crash to each other.
    static constexpr auto settle_time = 500ms;

    vm* front = nullptr;
    std::vector<vm*> backs;
    std::size_t crashes = 0;
    std::set<std::string> lethal{"/work/lethal"};

    crashing_content_fixture()
    {
        front = &add_vm("front", "front", [](const auto&) { return reply{}; });
        published_.emplace_back(front, "front");
        for (std::size_t i = 0; i < targets; ++i) {
            add_back("back-" + std::to_string(i));
        }
        publish_all();
    }

    vm& add_back(const std::string& id)
    {
        auto& back = add_vm(id, "orders", {});
        back.target->set_respond([this, &back](const auto& r) { return respond(back, r); });
        backs.push_back(&back);
        published_.emplace_back(&back, id);
        return back;
    }

    void publish_all() { publish(config_for("orders", false), published_); }

    /// Restarts the target under the same id; all nodes receive the new entry.
    void restart(vm& back)
    {
        const auto known = std::ranges::find(published_, &back, &published::first);
        auto entry = entry_of(back, known->second);
        entry.id.start = ++last_start_;
        for (const auto& v : vms) {
            v->node->put_target(entry);
        }
    }

    reply respond(vm& back, const stand_in_target::request& r)
    {
        const auto target = std::string(r.target());
        if (lethal.contains(target.substr(0, target.find('?')))) {
            ++crashes;
            return crash(back);
        }
        return {stand_in_target::answer(r, "done"), end::keep};
    }

    /// What a target does when it crashes; closes all its connections by default.
    std::function<reply(vm&)> crash = [](vm& back) {
        back.target->crash();
        return reply{"", end::reset};
    };

    answer ask(const std::string& path) { return ask(*front, "GET " + path + " HTTP/1.1"); }

    answer ask(const vm& at, const std::string& line, const std::string& headers = {})
    {
        auto got = relay_fixture::ask(
            at.settings.outbound, request_text("id-" + std::to_string(++last_id_), headers, line));
        run_for(settle_time);
        return got;
    }

    void run_for(std::chrono::milliseconds time)
    {
        context.run_for(time);
        context.restart();
    }

    void revive()
    {
        for (auto* const back : backs) {
            back->target->listen();
        }
    }

private:
    using published = std::pair<vm*, std::string>;
    std::vector<published> published_;
    int last_id_ = 0;
    std::uint64_t last_start_ = 1;
};

} // namespace

// Guards against a repeated request that crashes one target after another.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_is_quarantined_after_three_crashes")
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

// Guards against quarantined content that is not visible to operators.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_suspects_are_in_the_metrics")
{
    const auto metrics = [this] {
        return relay_fixture::ask(front->settings.ready, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")
            .body();
    };
    CHECK(metrics().find("trefoil_crash_contents_suspect 0") != std::string::npos);
    for (int i = 0; i < 3; ++i) {
        ask("/work/lethal");
        revive();
    }
    // One content has three fingerprints.
    CHECK(metrics().find("trefoil_crash_contents_known 3") != std::string::npos);
    CHECK(metrics().find("trefoil_crash_contents_suspect 3") != std::string::npos);
}

// Guards against quarantining ordinary requests because they were running when targets crashed.
TEST_CASE_METHOD(crashing_content_fixture,
                 "crashing_content_that_was_served_elsewhere_is_not_quarantined")
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

// Guards against counting a connection reset by a running target as a crash.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_reset_connections_are_not_crashes")
{
    for (auto* const back : backs) {
        back->target->set_respond([](const auto&) { return reply{"", end::reset}; });
    }
    for (int i = 0; i < 4; ++i) {
        CHECK(ask("/work/reset").result_int() == 502);
    }
}

// Guards against an error answer of one target that clears content which crashes the others.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_error_answer_does_not_clear")
{
    auto& failing = *backs.front();
    failing.target->set_respond([](const auto&) {
        return reply{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", end::keep};
    });
    for (int i = 0; i < 30; ++i) {
        ask("/work/lethal");
        revive();
    }
    CHECK(crashes == 3);
}

// Guards against nodes that start after content was quarantined and still forward it.
TEST_CASE_METHOD(crashing_content_fixture,
                 "crashing_content_is_quarantined_by_nodes_that_start_later")
{
    for (int i = 0; i < 3; ++i) {
        ask("/work/lethal");
        revive();
    }
    REQUIRE(crashes == 3);
    for (const auto* const id : {"late-1", "late-2", "late-3"}) {
        add_back(id);
    }
    const auto& late_front = add_vm("late-front", "front", {});
    publish_all();
    run_for(2s); // Within the period after its start in which a node counts as having no contact.
    for (int i = 0; i < 20; ++i) {
        CHECK(ask(late_front, "GET /work/lethal HTTP/1.1").result_int() == 503);
        revive();
    }
    CHECK(crashes == 3);
}

// Guards against a crash count that restarts from zero when all nodes with targets are replaced.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_count_is_kept_by_replacement_nodes")
{
    const std::vector<std::string> contents{"/work/a", "/work/b", "/work/c", "/work/d"};
    const auto ask_each = [&](int times) {
        for (int i = 0; i < times; ++i) {
            for (const auto& content : contents) {
                ask(content);
                revive();
            }
        }
    };
    lethal = {contents.begin(), contents.end()};
    ask_each(2);
    REQUIRE(crashes == 2 * contents.size());
    for (const auto* const id : {"late-1", "late-2", "late-3", "late-4"}) {
        add_back(id);
    }
    publish_all();
    run_for(2s);
    for (const auto& v : vms) {
        for (std::size_t i = 0; i < targets; ++i) {
            v->node->remove_target("back-" + std::to_string(i));
        }
    }
    ask_each(3);
    CHECK(crashes == 3 * contents.size());
}

// Guards against counting the same content separately per query, method or calling service.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_is_known_by_path_and_body")
{
    SECTION("other query")
    {
        for (int i = 0; i < 8; ++i) {
            ask("/work/lethal?page=" + std::to_string(i));
            revive();
        }
    }
    SECTION("other method")
    {
        for (const auto* const method : {"GET", "DELETE", "PUT", "POST", "PATCH", "OPTIONS"}) {
            ask(*front, std::string(method) + " /work/lethal HTTP/1.1", "Content-Length: 0\r\n");
            revive();
        }
    }
    SECTION("other caller")
    {
        for (const auto& v : std::vector<vm*>{front, backs[0], front, backs[1], front, backs[2]}) {
            ask(*v, "GET /work/lethal HTTP/1.1");
            revive();
        }
    }
    CHECK(crashes == 3);
}

// Guards against missing a crash when the target stops answering, without closing its connections,
// and restarts.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_target_silent_then_restarted_counts")
{
    vm* silent = nullptr;
    crash = [&silent](vm& back) {
        silent = &back;
        return reply{"", end::silent};
    };
    for (int i = 0; i < 6; ++i) {
        ask(*front, "GET /work/lethal HTTP/1.1", "trefoil-deadline-ms: 300\r\n");
        if (auto* const back = std::exchange(silent, nullptr)) {
            restart(*back);
            run_for(settle_time);
        }
    }
    CHECK(crashes == 3);
}

// Guards against missing a crash when the target restarts before the node's next probe.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_target_restarted_immediately_counts")
{
    vm* crashed = nullptr;
    crash = [&crashed](vm& back) {
        crashed = &back;
        return reply{"", end::reset};
    };
    for (int i = 0; i < 6; ++i) {
        ask("/work/lethal");
        if (auto* const back = std::exchange(crashed, nullptr)) {
            restart(*back);
            run_for(settle_time);
        }
    }
    CHECK(crashes == 3);
}

// Guards against retries by the node of a request that is known to have been running during a
// crash.
TEST_CASE_METHOD(crashing_content_fixture, "crashing_content_suspect_is_not_retried_by_the_node")
{
    publish(config_for("orders", true, config_version{2}), {});
    const auto earn_retries = [this] {
        for (int i = 0; i < 30; ++i) {
            relay_fixture::ask(front->settings.outbound,
                               request_text("usual-" + std::to_string(i)));
        }
    };
    earn_retries();
    ask("/work/lethal");
    REQUIRE(crashes == 2); // The first crash was not known when the request was sent again.
    revive();
    earn_retries();
    ask("/work/lethal");
    CHECK(crashes == 3);
}
