#pragma once

#include "shared_bytes.h"

#include "spread/state_version.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace trefoil {

/// Kinds of messages between nodes. A message consists of the length of its fields (four bytes, big
/// endian), its kind (one byte) and its fields as a MessagePack array. A node ignores unknown kinds
/// and trailing fields, which a newer node may append.
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
    // 13 is reserved: earlier releases used it.
    records_request = 14,
    records = 15,
};

/// Messages carry admit levels and chances in units of 1/1000.
constexpr double wire_level_scale = 1000.0;

inline std::uint32_t to_wire_level(double level)
{
    return static_cast<std::uint32_t>(level * wire_level_scale);
}

inline double from_wire_level(std::uint32_t level)
{
    return level / wire_level_scale;
}

/// Encoding of a state_version, the state version of a node, in messages.
struct wire_state_version {
    static constexpr std::uint32_t no_contact = std::numeric_limits<std::uint32_t>::max();

    std::uint64_t revision = 0;
    std::uint32_t contact_age_ms = no_contact;
    /// Era of the revision; 0 if the sender knows none, or is of a release that sends none.
    std::uint64_t era = 0;

    wire_state_version() = default;
    explicit wire_state_version(const state_version& state)
        : revision(state.version.revision), era(state.version.era)
    {
        if (state.contact_age) {
            contact_age_ms = static_cast<std::uint32_t>(
                std::min<std::int64_t>(state.contact_age->count(), no_contact - 1));
        }
    }

    state_version version() const
    {
        state_version result{{era, revision}, std::nullopt};
        if (contact_age_ms != no_contact) {
            result.contact_age = std::chrono::milliseconds(contact_age_ms);
        }
        return result;
    }

    MSGPACK_DEFINE(revision, contact_age_ms, era)
};

/// First message on a connection; identifies the sender.
struct hello_message {
    std::string vm;
    /// Service of the sender's local target.
    std::string service;
    /// Send time by the sender's clock, in milliseconds.
    std::uint64_t sent_ms = 0;

    MSGPACK_DEFINE(vm, service, sent_ms)
};

/// A request for the receiver's local target.
struct call_message {
    /// Identifies the request on this connection.
    std::uint32_t stream = 0;
    /// Time until the deadline of the final answer, in milliseconds.
    std::uint32_t time_left_ms = 0;
    std::uint32_t route = 0;
    std::uint32_t rank = 0;
    bool idempotent = false;
    bool nested = false;
    /// Id of the intended target.
    std::string target_id;
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string headers;
    shared_bytes body;
    /// Send time by the sender's clock, in milliseconds.
    std::uint64_t sent_ms = 0;
    wire_state_version version;
    /// Time in milliseconds that the original request at the entry node has left beyond
    /// `time_left_ms`; 0 if this is the original request.
    std::uint32_t request_extra_ms = 0;
    /// Maximum size of the answer that the sender accepts, in bytes; 0 if not given.
    std::uint64_t answer_limit = 0;
    /// Name of the requested service.
    std::string service;
    /// The request, or the one that made this call, was sent to another target before.
    bool repeated = false;
    /// Chance in units of 1/1000 that the request at the entry node succeeds if this one does.
    std::uint32_t chance = 1000;

    MSGPACK_DEFINE(stream, time_left_ms, route, rank, idempotent, nested, target_id, id, method,
                   target, host, headers, body, sent_ms, version, request_extra_ms, answer_limit,
                   service, repeated, chance)
};

/// The outcome of a request at the receiver.
struct answer_message {
    std::uint32_t stream = 0;
    /// Value of call_outcome.
    std::uint8_t outcome = 0;
    std::uint32_t status = 0;
    std::string headers;
    shared_bytes body;
    std::string omitted_length;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0;
    std::uint32_t hold_ms = 0;
    /// Admit level of the request's route at this node and downstream of it, in units of 1/1000.
    std::uint32_t level = 1000;
    wire_state_version version;
    /// Whether requests of this route make calls to other services.
    bool makes_calls = true;
    /// Smoothed run time of the route at this target and its mean absolute deviation; 0 if not
    /// known.
    std::uint32_t route_time_ms = 0;
    std::uint32_t route_deviation_ms = 0;

    MSGPACK_DEFINE(stream, outcome, status, headers, body, omitted_length, running, waiting, limit,
                   hold_ms, level, version, makes_calls, route_time_ms, route_deviation_ms)
};

/// Cancels a request: the caller no longer needs the answer.
struct cancel_message {
    std::uint32_t stream = 0;

    MSGPACK_DEFINE(stream)
};

/// Requests the changes after the sender's version. Always answered with a state message.
struct state_request_message {
    wire_state_version version;
    /// Version of the configuration in force at the sender; 0 if there is none.
    std::uint64_t config = 0;

    MSGPACK_DEFINE(version, config)
};

/// Published changes, sent as the answer to a state request or as the push of a change.
struct state_message {
    struct item {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;

        MSGPACK_DEFINE(key, value, revision, removed)
    };

    /// The state is complete at the revision of this state version once the items are applied.
    wire_state_version version;
    /// The items are all changes after this revision; 0 if they are the full state.
    std::uint64_t base = 0;
    std::vector<item> items;
    /// Time in milliseconds for which the sender still keeps targets whose entries are missing.
    std::uint32_t confirmation_time_left_ms = 0;
    /// Items that stay in force at the sender in place of older ones of the store.
    std::vector<item> retained;
    /// Version of the sender's configuration if that is one of them; 0 otherwise. The configuration
    /// itself is sent only to a node that asked and has an older one.
    std::uint64_t retained_config = 0;
    /// Digest of the sender's state at `version`; 0 if it is of a release that sends none.
    std::uint64_t digest = 0;
    /// Whether the items are known to have all removals since `base`.
    bool has_all_removals = true;

    MSGPACK_DEFINE(version, base, items, confirmation_time_left_ms, retained, retained_config,
                   digest, has_all_removals)
};

} // namespace trefoil
