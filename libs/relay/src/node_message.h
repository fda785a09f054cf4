#pragma once

#include "spread/spread_mark.h"

#include <algorithm>
#include <cstdint>
#include <limits>
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
    crash = 10,
    content_question = 11,
    content_served = 12,
    // 13 was used by earlier releases.
    records_request = 14,
    records = 15,
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

/// A spread_mark as messages carry it.
struct wire_mark {
    static constexpr std::uint32_t no_contact = std::numeric_limits<std::uint32_t>::max();

    std::uint64_t revision = 0;
    std::uint32_t contact_age_ms = no_contact;

    wire_mark() = default;
    explicit wire_mark(const spread_mark& mark) : revision(mark.revision)
    {
        if (mark.contact_age) {
            contact_age_ms = static_cast<std::uint32_t>(
                std::min<std::int64_t>(mark.contact_age->count(), no_contact - 1));
        }
    }

    spread_mark mark() const
    {
        spread_mark m{revision, std::nullopt};
        if (contact_age_ms != no_contact) {
            m.contact_age = std::chrono::milliseconds(contact_age_ms);
        }
        return m;
    }

    MSGPACK_DEFINE(revision, contact_age_ms)
};

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
    wire_mark mark;
    /// Milliseconds that the request at the first hop has beyond `time_left_ms`; 0 if this is it.
    std::uint32_t request_extra_ms = 0;
    /// Largest answer that the sender takes, in bytes; 0 if it names none.
    std::uint64_t answer_limit = 0;
    /// Service that the request is for.
    std::string service;

    MSGPACK_DEFINE(stream, time_left_ms, route, rank, idempotent, nested, target_id, id, method,
                   target, host, headers, body, sent_ms, mark, request_extra_ms, answer_limit,
                   service)
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
    wire_mark mark;

    MSGPACK_DEFINE(stream, outcome, status, headers, body, omitted_length, running, waiting, limit,
                   hold_ms, level, mark)
};

/// The caller no longer wants the answer.
struct cancel_message {
    std::uint32_t stream = 0;

    MSGPACK_DEFINE(stream)
};

/// Asks for the changes after the sender's revision. Always answered by a state message.
struct state_request_message {
    wire_mark mark;

    MSGPACK_DEFINE(mark)
};

/// Published changes: the answer to a state_request, or the push of a change.
struct state_message {
    struct item {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;

        MSGPACK_DEFINE(key, value, revision, removed)
    };

    /// The state is complete at this revision once the items are taken over.
    wire_mark mark;
    /// The items are all changes after this revision; 0 if they are the whole state.
    std::uint64_t base = 0;
    std::vector<item> items;
    /// Milliseconds for which the sender keeps targets whose entries are missing.
    std::uint32_t confirm_left_ms = 0;

    MSGPACK_DEFINE(mark, base, items, confirm_left_ms)
};

} // namespace trefoil
