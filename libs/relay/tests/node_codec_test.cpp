#include "node_codec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace trefoil;

namespace {

struct node_codec_fixture {
    std::mt19937 random{20261204};

    static raw_node_message raw(std::string_view bytes)
    {
        return {node_message_kind::state, bytes.substr(node_message_header)};
    }

    /// Decodes the fields as each message type. The decoder may throw only invalid_node_message.
    static void decode_all(const raw_node_message& message)
    {
        const auto decode = [&](auto fields) {
            try {
                decode_fields<decltype(fields)>(message);
            }
            catch (const invalid_node_message&) {
                return;
            }
        };
        decode(hello_message());
        decode(call_message());
        decode(answer_message());
        decode(cancel_message());
        decode(state_request_message());
        decode(state_message());
    }
};

} // namespace

// Guards against fields that differ after encoding and decoding.
TEST_CASE_METHOD(node_codec_fixture, "node_codec_state_message_round_trip_is_equal")
{
    state_message state;
    state.version.revision = 7;
    state.base = 5;
    state.items = {{"a", "value", 6, false}, {"b", "", 7, true}};
    const auto bytes = encode_message(node_message_kind::state, state);
    const auto read = decode_fields<state_message>(raw(bytes));
    CHECK(read.version.revision == 7);
    CHECK(read.base == 5);
    REQUIRE(read.items.size() == 2);
    CHECK(read.items[1].removed);
}

// Guards against allocating memory for array sizes that a message announces but does not contain.
TEST_CASE_METHOD(node_codec_fixture, "node_codec_announced_sizes_are_rejected_before_decoding")
{
    const auto rejected = [](const std::string& bytes) {
        CHECK_THROWS_AS(check_shape(bytes), invalid_node_message);
    };
    rejected("\xdd\xff\xff\xff\xff");
    rejected("\xdc\xff\xff");
    rejected(std::string(100, '\x91'));
    rejected("\x81\x01\x01");
    rejected("\xdb\xff\xff\xff\xff");
    rejected("");
}

// Guards against using out-of-range values of an answer.
TEST_CASE_METHOD(node_codec_fixture, "node_codec_answer_out_of_range_is_rejected")
{
    answer_message answer;
    answer.status = 200;
    CHECK_NOTHROW(check_range(answer));
    answer.outcome = 77;
    CHECK_THROWS_AS(check_range(answer), invalid_node_message);
    answer.outcome = 0;
    answer.status = 1200;
    CHECK_THROWS_AS(check_range(answer), invalid_node_message);
    answer.status = 200;
    answer.level = 1001;
    CHECK_THROWS_AS(check_range(answer), invalid_node_message);
}

// Guards against malformed bytes that make the decoder throw any other exception.
TEST_CASE_METHOD(node_codec_fixture, "node_codec_mutated_messages_throw_only_invalid_node_message")
{
    call_message call;
    call.id = "id-1";
    call.headers = "A: b\r\n";
    call.body = std::string(40, 'x');
    state_message state;
    state.items = {{"a", "value", 6, false}, {"b", "", 7, true}};
    const std::vector<std::string> valid{
        encode_message(node_message_kind::call, call),
        encode_message(node_message_kind::answer, answer_message()),
        encode_message(node_message_kind::state, state)};
    for (int i = 0; i < 20000; ++i) {
        auto bytes = valid[random() % valid.size()];
        for (auto changes = 1 + random() % 4; changes > 0; --changes) {
            const auto at = node_message_header + random() % (bytes.size() - node_message_header);
            if (random() % 4 == 0) {
                bytes.resize(at);
                break;
            }
            bytes[at] = static_cast<char>(random());
        }
        decode_all(raw(bytes));
    }
    SUCCEED();
}
