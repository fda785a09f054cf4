#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace trefoil {

/// Kinds of the messages between nodes. A message is its length in four bytes, most significant
/// first, its kind in one byte, and its fields as a MessagePack array. A node ignores kinds it does
/// not know, and fields that a newer node appends.
enum class node_message_kind : std::uint8_t {
    hello = 1,
    call = 2,
    answer = 3,
    cancel = 4,
    ping = 5,
    pong = 6,
    leaving = 7,
    state_request = 8,
    state = 9,
};

/// Admit levels in messages are in thousandths.
constexpr double wire_level_scale = 1000.0;

inline std::uint32_t to_wire_level(double level)
{
    return static_cast<std::uint32_t>(level * wire_level_scale);
}

inline double from_wire_level(std::uint32_t level)
{
    return level / wire_level_scale;
}

/// First message on a connection: who calls.
struct hello_message {
    std::string vm;
    /// Service of the target beside the caller.
    std::string service;
    /// Sender's clock.
    std::uint64_t sent_ms = 0;

    MSGPACK_DEFINE(vm, service, sent_ms)
};

/// A request for the target beside the receiver.
struct call_message {
    /// Number of the request on this connection.
    std::uint32_t stream = 0;
    /// Milliseconds that are left for the final answer.
    std::uint32_t time_left_ms = 0;
    std::uint32_t route = 0;
    std::uint32_t rank = 0;
    bool idempotent = false;
    bool nested = false;
    /// The target that is meant.
    std::string target_id;
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string headers;
    std::string body;
    /// Sender's clock.
    std::uint64_t sent_ms = 0;
    /// Revision of the newest published change that the sender knows.
    std::uint64_t known_revision = 0;
    /// Milliseconds that the request at the first hop has beyond `time_left_ms`; 0 if this is it.
    std::uint32_t request_extra_ms = 0;

    MSGPACK_DEFINE(stream, time_left_ms, route, rank, idempotent, nested, target_id, id, method,
                   target, host, headers, body, sent_ms, known_revision, request_extra_ms)
};

/// How a request ended at the receiver.
struct answer_message {
    std::uint32_t stream = 0;
    /// A call_outcome.
    std::uint8_t outcome = 0;
    std::uint32_t status = 0;
    std::string headers;
    std::string body;
    std::string omitted_length;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    std::uint32_t hold_ms = 0;
    /// Admit level of the request's route here and below, in thousandths.
    std::uint32_t level = 1000;
    /// Revision of the newest published change that the sender knows.
    std::uint64_t known_revision = 0;

    MSGPACK_DEFINE(stream, outcome, status, headers, body, omitted_length, running, waiting, limit,
                   hold_ms, level, known_revision)
};

/// The caller no longer wants the answer.
struct cancel_message {
    std::uint32_t stream = 0;

    MSGPACK_DEFINE(stream)
};

/// Asks for published state that is newer than the given revision.
struct state_request_message {
    std::uint64_t revision = 0;

    MSGPACK_DEFINE(revision)
};

/// Published items as the sender last read them.
struct state_message {
    struct item {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;

        MSGPACK_DEFINE(key, value, revision)
    };

    /// Revision of the newest change that the sender knows; the items are complete at it.
    std::uint64_t revision = 0;
    /// The sender reads the store at present.
    bool live = false;
    std::vector<item> items;

    MSGPACK_DEFINE(revision, live, items)
};

} // namespace trefoil
