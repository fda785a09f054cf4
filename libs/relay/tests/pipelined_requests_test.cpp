#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// A caller that sends requests before the earlier ones are answered, and a target whose answers
/// name the request's id and body.
struct pipelined_requests_fixture : relay_fixture {
    vm& front = add_vm("front", "front", [](const auto&) { return reply{}; });
    vm& back = add_vm("back", "orders", [](const auto& r) {
        const auto id = std::string(r["trefoil-request-id"]);
        return reply{stand_in_target::answer(r, id + ':' + r.body()), end::keep};
    });

    pipelined_requests_fixture() { publish(config_for("orders", false), {{&back, "back"}}); }

    struct pipelined {
        std::string id;
        std::string body;
        std::string text;
    };

    /// Requests of several methods, without a body, with a length and in chunks.
    static std::vector<pipelined> requests(std::size_t count)
    {
        std::vector<pipelined> list;
        for (std::size_t i = 0; i < count; ++i) {
            const auto id = "id-" + std::to_string(i);
            switch (i % 3) {
            case 0:
                list.push_back({id, "", request_text(id)});
                break;
            case 1: {
                const std::string body(1 + i, static_cast<char>('a' + i % 26));
                const auto length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
                list.push_back({id, body, request_text(id, length, "PUT /work/1 HTTP/1.1") + body});
                break;
            }
            default: {
                const auto text =
                    request_text(id, "Transfer-Encoding: chunked\r\n", "POST /work/1 HTTP/1.1");
                list.push_back({id, "abcde", text + "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"});
                break;
            }
            }
        }
        return list;
    }

    /// Sends the text in pieces that end at `cuts`, with turns of the event loop between them, and
    /// checks that each request ran once and got its own answer, in order.
    void check_order(const std::vector<pipelined>& list, std::vector<std::size_t> cuts)
    {
        const auto before = back.target->requests().size();
        std::string text;
        for (const auto& r : list) {
            text += r.text;
        }
        cuts.push_back(text.size());
        auto caller = connect(front.settings.outbound);
        std::size_t from = 0;
        for (const auto cut : cuts) {
            asio::write(caller, asio::buffer(text.substr(from, cut - from)));
            from = cut;
            for (int turn = 0; turn < 8; ++turn) {
                context.poll_one();
            }
        }
        for (const auto& r : list) {
            CHECK(read_answer(caller).body() == r.id + ':' + r.body);
        }
        std::map<std::string, int> runs;
        const auto& all = back.target->requests();
        for (auto i = before; i < all.size(); ++i) {
            ++runs[std::string(all[i]["trefoil-request-id"])];
        }
        CHECK(runs.size() == list.size());
        CHECK(std::ranges::all_of(runs, [](const auto& run) { return run.second == 1; }));
    }
};

} // namespace

// Guards against running a request twice whose bytes arrived while an earlier one was answered, and
// against answering the next one with its result: the case review/6.
TEST_CASE_METHOD(pipelined_requests_fixture, "pipelined_requests_each_cut_runs_once_in_order")
{
    const auto list = requests(2);
    const auto size = list[0].text.size() + list[1].text.size();
    for (std::size_t cut = 1; cut < size; ++cut) {
        INFO("cut " << cut);
        check_order(list, {cut});
    }
}

// Guards against the same at any split of many requests.
TEST_CASE_METHOD(pipelined_requests_fixture, "pipelined_requests_drawn_cuts_run_once_in_order")
{
    constexpr unsigned seed = 20261207;
    constexpr int draws = 200;
    std::mt19937 random(seed);
    for (int draw = 0; draw < draws; ++draw) {
        INFO("seed " << seed << ", draw " << draw);
        const auto list = requests(std::array<std::size_t, 3>{2, 3, 20}[random() % 3]);
        std::size_t size = 0;
        for (const auto& r : list) {
            size += r.text.size();
        }
        std::vector<std::size_t> cuts(1 + random() % 8);
        for (auto& cut : cuts) {
            cut = 1 + random() % (size - 1);
        }
        std::ranges::sort(cuts);
        check_order(list, cuts);
    }
}

// Guards against running what follows a request that ends its connection.
TEST_CASE_METHOD(pipelined_requests_fixture, "pipelined_requests_behind_a_close_do_not_run")
{
    auto caller = connect(front.settings.outbound);
    asio::write(caller,
                asio::buffer(request_text("id-1") + request_text("id-2", "Connection: close\r\n") +
                             request_text("id-3")));
    CHECK(read_answer(caller).body() == "id-1:");
    CHECK(read_answer(caller).body() == "id-2:");
    boost::system::error_code error;
    char byte = 0;
    bool is_ended = false;
    asio::async_read(caller, asio::buffer(&byte, 1), [&](auto failure, std::size_t) {
        error = failure;
        is_ended = true;
    });
    run_until([&] { return is_ended; });
    CHECK(error == asio::error::eof);
    CHECK(back.target->requests().size() == 2);
}
