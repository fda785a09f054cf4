#include "memory_peak.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;
using request = stand_in_target::request;

/// A part of an answer that does not end.
struct endless_part {
    std::string name;
    std::string status_line;
    /// Headers besides the request's id.
    std::string headers;
    /// Bytes between the headers and the part.
    std::string start;
    /// Bytes that the part repeats.
    std::string block;
};

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string proof = "trefoil-proof: p1\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string failed = "HTTP/1.1 500 Failed\r\n";
const std::string refused = "HTTP/1.1 503 Busy\r\ntrefoil-not-run: 1\r\n";

std::vector<endless_part> endless_parts()
{
    return {
        {"chunk size", ok, proof + chunked + "\r\n", "", "x"},
        {"digits of a chunk size", ok, proof + chunked + "\r\n", "", "0"},
        {"second chunk size", ok, proof + chunked + "\r\n", "4\r\ndone\r\n", "x"},
        {"chunk extension", ok, proof + chunked + "\r\n", "4;a=", "b"},
        {"extension of the last chunk", ok, proof + chunked + "\r\n", "0;a=", "b"},
        {"one trailer line", ok, proof + chunked + "\r\n", "4\r\ndone\r\n0\r\nA: ", "b"},
        {"trailer lines", ok, proof + chunked + "\r\n", "4\r\ndone\r\n0\r\n", "A: b\r\n"},
        {"bytes behind a chunk", ok, proof + chunked + "\r\n", "4\r\ndone", "x"},
        {"chunk size of a failure", failed, chunked + "\r\n", "", "x"},
        {"trailer lines of a failure", failed, chunked + "\r\n", "0\r\n", "A: b\r\n"},
        {"chunk size of a refusal", refused, chunked + "\r\n", "", "x"},
        {"trailer lines of a refusal", refused, chunked + "\r\n", "0\r\n", "A: b\r\n"},
        {"header lines", ok, proof, "", "A: b\r\n"},
        {"one header line", ok, proof, "A: ", "b"},
        {"body up to the end of the connection", ok, proof + "\r\n", "", "x"},
        {"body of a failure up to the end", failed, "\r\n", "", "x"},
        {"body of a refusal up to the end", refused, "\r\n", "", "x"},
        {"body in chunks", ok, proof + chunked + "\r\n", "", "4\r\ndone\r\n"},
        {"body in chunks of one byte", ok, proof + chunked + "\r\n", "", "1\r\nx\r\n"},
    };
}

/// Callers of a node with the memory of the smallest machines. Requests whose id begins with
/// "endless" get an answer that does not end; all others are answered.
struct endless_answer_fixture : relay_fixture {
    static constexpr std::size_t memory = std::size_t{160} << 20U;
    static constexpr int caller_count = 16;

    std::function<reply(const request&)> respond;
    vm& front;
    vm& back;
    const memory_peak peak;

    explicit endless_answer_fixture(int slots = caller_count)
        : relay_fixture(memory),
          front(add_vm("front", "front", [](const auto&) { return reply{}; })),
          back(add_vm("back", "orders", [this](const auto& r) {
              return id_of(r).starts_with("endless")
                         ? respond(r)
                         : reply{stand_in_target::answer(r, "done of " + id_of(r)), end::keep};
          }))
    {
        auto entry = entry_of(back, "back");
        entry.slots = static_cast<std::uint32_t>(slots);
        for (const auto& v : vms) {
            v->node->set_config(config_for("orders", false));
            v->node->put_target(entry);
        }
    }

    static std::string id_of(const request& r) { return std::string(r["trefoil-request-id"]); }

    void respond_with(const endless_part& part)
    {
        respond = [part](const auto& r) {
            return reply{part.status_line + "trefoil-request-id: " + id_of(r) + "\r\n" +
                             part.headers + part.start,
                         end::silent, part.block};
        };
    }

    /// Sends one request for each caller at once and returns how many got this status. Ends early
    /// if the process exceeds its memory.
    int count_answers(const vm& entry, int callers, unsigned status)
    {
        int answered = 0;
        int matching = 0;
        for (int i = 0; i < callers; ++i) {
            asio::co_spawn(
                context,
                [&, i]() -> asio::awaitable<void> {
                    auto caller = connect(entry.settings.outbound);
                    const auto text = request_text("endless-" + std::to_string(i));
                    co_await asio::async_write(caller, asio::buffer(text), asio::use_awaitable);
                    boost::beast::flat_buffer buffer;
                    answer got;
                    boost::system::error_code error;
                    co_await boost::beast::http::async_read(
                        caller, buffer, got, asio::redirect_error(asio::use_awaitable, error));
                    ++answered;
                    matching += !error && got.result_int() == status ? 1 : 0;
                },
                asio::detached);
        }
        constexpr int events_between_checks = 64;
        for (int events = 0; answered < callers; ++events) {
            context.run_one();
            if (events % events_between_checks == 0 && peak.bytes() >= memory) {
                break;
            }
        }
        return matching;
    }

    /// The entry node is the one beside the target, or another one.
    vm& any_entry() { return GENERATE(false, true) ? front : back; }

    bool serves_next(const vm& entry)
    {
        return ask(entry.settings.outbound, request_text("next")).body() == "done of next";
    }
};

} // namespace

// Guards against a node that exceeds its memory, with all requests on it, since a target sends
// bytes without end in any part of an answer.
TEST_CASE_METHOD(endless_answer_fixture, "endless_answer_any_part_ends_only_its_request_in_memory")
{
    const auto& entry = any_entry();
    const auto count = GENERATE(1, caller_count);
    const auto part = GENERATE(from_range(endless_parts()));
    INFO(part.name << ", " << count << " callers");
    respond_with(part);
    CHECK(count_answers(entry, count, 502) == count);
    REQUIRE(peak.bytes() < memory);
    CHECK(serves_next(entry));
    run_until([&] { return back.target->closed() >= count; });
}

/// As many callers as the largest targets have slots.
struct many_endless_answers_fixture : endless_answer_fixture {
    static constexpr int many_callers = 128;

    many_endless_answers_fixture() : endless_answer_fixture(many_callers) {}
};

// Guards against a memory use that grows with the number of answers, each within its own limit.
TEST_CASE_METHOD(many_endless_answers_fixture, "endless_answer_many_bodies_together_stay_in_memory")
{
    const auto& entry = any_entry();
    respond_with({"", ok, proof + chunked + "\r\n", "", "4\r\ndone\r\n"});
    CHECK(count_answers(entry, many_callers, 502) == many_callers);
    REQUIRE(peak.bytes() < memory);
    CHECK(serves_next(entry));
}

// Guards against the same for bytes before the status line ends, which have no request id.
TEST_CASE_METHOD(endless_answer_fixture, "endless_answer_without_a_head_ends_only_its_request")
{
    const auto& entry = any_entry();
    const auto count = GENERATE(1, caller_count);
    const auto* const start = GENERATE("", "HTTP/1.1 200 ", "HTTP/1.1 100 Continue\r\nA: ");
    const auto* const block = GENERATE("x", "1", "HTTP/1.1 100 Continue\r\n\r\n");
    INFO('"' << start << "\" followed by \"" << block << "\", " << count << " callers");
    respond = [&](const auto&) { return reply{start, end::silent, block}; };
    CHECK(count_answers(entry, count, 502) == count);
    REQUIRE(peak.bytes() < memory);
    CHECK(serves_next(entry));
}

// Guards against reading the answers to other requests until the deadline, with a log line each.
TEST_CASE_METHOD(endless_answer_fixture, "endless_answer_of_other_requests_ends_only_its_request")
{
    const auto& entry = any_entry();
    const auto count = GENERATE(1, caller_count);
    respond = [](const auto&) {
        return reply{"", end::silent,
                     ok + proof + "trefoil-request-id: other\r\nContent-Length: 4\r\n\r\ndone"};
    };
    CHECK(count_answers(entry, count, 502) == count);
    REQUIRE(peak.bytes() < memory);
    CHECK(serves_next(entry));
}

// Guards against buffering bytes that follow a complete answer.
TEST_CASE_METHOD(endless_answer_fixture, "endless_answer_bytes_past_its_end_are_not_buffered")
{
    const auto& entry = any_entry();
    respond = [](const auto& r) {
        return reply{stand_in_target::answer(r, "done"), end::silent, "x"};
    };
    CHECK(count_answers(entry, caller_count, 200) == caller_count);
    REQUIRE(peak.bytes() < memory);
    CHECK(serves_next(entry));
    run_until([&] { return back.target->closed() >= caller_count; });
}

// Guards against a limit on unparsed bytes that cuts valid answers: chunks with long extensions and
// trailers that arrive in pieces.
TEST_CASE_METHOD(endless_answer_fixture, "endless_answer_limit_passes_long_extensions_and_trailers")
{
    const auto& entry = any_entry();
    const std::string extension = ";a=" + std::string(4000, 'b');
    std::string body;
    std::string text;
    for (int i = 0; i < 200; ++i) {
        body += std::string(1000, 'y');
        text += "3e8" + extension + "\r\n" + std::string(1000, 'y') + "\r\n";
    }
    text += "0" + extension + "\r\nA: " + std::string(3000, 'b') + "\r\n\r\n";
    respond = [&](const auto& r) {
        return reply{ok + proof + "trefoil-request-id: " + id_of(r) + "\r\n" + chunked + "\r\n" +
                         text,
                     end::keep};
    };
    CHECK(ask(entry.settings.outbound, request_text("endless-1")).body() == body);
}
