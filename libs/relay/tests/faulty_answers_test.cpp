#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// One entry node and one node beside a target that answers as each test says.
struct faulty_answers_fixture : relay_fixture {
    std::function<reply(const stand_in_target::request&)> respond;
    vm& front = add_vm("front", "front", [](const auto&) { return reply{}; });
    vm& back = add_vm("back", "orders", [this](const auto& r) { return respond(r); });
    /// Requests that the target ran.
    std::vector<std::string> runs;

    void serve(bool idempotent)
    {
        auto config = config_for("orders", idempotent);
        config.status_paths[service_name("orders")] = "/status";
        publish(config, {{&back, "back"}});
    }

    answer ask(const std::string& id)
    {
        return relay_fixture::ask(front.settings.outbound, request_text(id));
    }

    static std::string id_of(const stand_in_target::request& r)
    {
        return std::string(r["trefoil-request-id"]);
    }

    static std::string refusal(const std::string& id)
    {
        const auto id_line = id.empty() ? std::string() : "trefoil-request-id: " + id + "\r\n";
        return "HTTP/1.1 503 Busy\r\n" + id_line +
               "trefoil-not-run: 1\r\nContent-Length: 0\r\n\r\n";
    }

    std::string run(const stand_in_target::request& r)
    {
        runs.push_back(id_of(r));
        return stand_in_target::answer(r, "done of " + id_of(r));
    }
};

} // namespace

// Guards against telling a caller that its request has not run because of the copy of an earlier
// refusal, with or without an id, that arrives in place of its answer.
TEST_CASE_METHOD(faulty_answers_fixture, "faulty_answers_copied_refusal_is_never_a_refusal")
{
    const bool with_id = GENERATE(true, false);
    const bool idempotent = GENERATE(true, false);
    serve(idempotent);
    std::map<int, std::string> refused_on;
    respond = [&](const auto& r) {
        const auto earlier = refused_on.find(back.target->connection());
        if (earlier == refused_on.end()) {
            refused_on.emplace(back.target->connection(), id_of(r));
            return reply{refusal(id_of(r)), end::keep};
        }
        return reply{refusal(with_id ? earlier->second : "") + run(r), end::keep};
    };
    CHECK(ask("id-1").result_int() == 503);
    for (int i = 2; i < 12; ++i) {
        const auto id = "id-" + std::to_string(i);
        const auto got = ask(id);
        const auto ran = std::count(runs.begin(), runs.end(), id);
        INFO(id << " got " << got.result_int());
        CHECK(ran <= 1);
        CHECK((got.result_int() == 503) == (ran == 0));
    }
}

// Guards against the same when the earlier refusal was of the same request: the node sends it again
// under the target's new id, and the copy has the id of the request that the target now runs.
TEST_CASE_METHOD(faulty_answers_fixture, "faulty_answers_copied_misdirection_is_never_a_refusal")
{
    serve(false);
    const auto misdirected = [](const std::string& id) {
        return "HTTP/1.1 421 Misdirected\r\ntrefoil-request-id: " + id +
               "\r\nContent-Length: 0\r\n\r\n";
    };
    std::map<int, std::string> refused_on;
    respond = [&](const auto& r) {
        if (r.target() == "/status") {
            return reply{"HTTP/1.1 200 OK\r\ntrefoil-target-id: new\r\nContent-Length: 0\r\n\r\n",
                         end::keep};
        }
        if (r["trefoil-target"] != "new") {
            refused_on.emplace(back.target->connection(), id_of(r));
            return reply{misdirected(id_of(r)), end::keep};
        }
        const auto earlier = refused_on.find(back.target->connection());
        const auto copy =
            earlier == refused_on.end() ? std::string() : misdirected(earlier->second);
        return reply{copy + run(r), end::keep};
    };
    const auto got = ask("id-1");
    CHECK(runs == std::vector<std::string>{"id-1"});
    CHECK(got.result_int() == 200);
    CHECK(got.body() == "done of id-1");
}

// Guards against an answer that is cut within its head and reaches the caller as a success with an
// empty or short body, wherever it is cut.
TEST_CASE_METHOD(faulty_answers_fixture, "faulty_answers_cut_within_the_head_is_never_a_success")
{
    const auto how = GENERATE(end::close, end::reset);
    serve(false);
    std::size_t length = 0;
    bool is_cut = true;
    respond = [&](const auto& r) {
        const auto whole = run(r);
        return is_cut ? reply{whole.substr(0, length), how} : reply{whole, end::keep};
    };
    const auto head = std::string(stand_in_target::answer({}, "done of id-000")).find("\r\n\r\n");
    for (; length < head + 3; ++length) {
        const auto got = ask("id-" + std::to_string(100 + length));
        INFO("cut after " << length << " bytes");
        CHECK(got.result_int() == 502);
    }
    is_cut = false;
    CHECK(ask("id-last").body() == "done of id-last");
}

// Guards against the same for a body that is shorter than its length or lacks its last chunk.
TEST_CASE_METHOD(faulty_answers_fixture, "faulty_answers_cut_within_the_body_is_never_a_success")
{
    const auto how = GENERATE(end::close, end::reset);
    const bool chunked = GENERATE(true, false);
    serve(false);
    std::size_t missing = 0;
    respond = [&](const auto& r) {
        const auto head =
            "HTTP/1.1 200 OK\r\ntrefoil-request-id: " + id_of(r) + "\r\ntrefoil-proof: p1\r\n";
        const std::string whole =
            head + (chunked ? "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
                            : "Content-Length: 14\r\n\r\ndone and dusted");
        return reply{whole.substr(0, whole.size() - 1 - missing), how};
    };
    for (missing = 1; missing < 8; ++missing) {
        INFO("missing " << missing);
        CHECK(ask("id-" + std::to_string(missing)).result_int() == 502);
    }
}
