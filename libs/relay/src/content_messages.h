#pragma once

#include <cstdint>
#include <vector>

#include <msgpack.hpp>

namespace trefoil {

/// Reports that a target crashed while it was processing requests with these fingerprints. Sent to
/// all nodes.
struct crash_message {
    /// Random id of the crash, unique across all nodes.
    std::uint64_t crash = 0;
    std::vector<std::uint64_t> contents;

    MSGPACK_DEFINE(crash, contents)
};

/// Asks whether the receiver's target has served the content. Answered only if it has.
struct content_question_message {
    std::uint64_t content = 0;

    MSGPACK_DEFINE(content)
};

/// Reports that a target served the content. Sent in reply to content_question_message, and then by
/// the node that asked to all nodes.
struct content_served_message {
    std::uint64_t content = 0;

    MSGPACK_DEFINE(content)
};

/// Requests the receiver's crash records. Answered if the digests differ or `is_new` is set.
struct records_request_message {
    /// Digest of the sender's crash records.
    std::uint64_t digest = 0;
    /// The sender is still starting; it is answered even if the digests are equal.
    bool is_new = false;

    MSGPACK_DEFINE(digest, is_new)
};

/// The sender's crash records.
struct records_message {
    /// One fingerprint that was being processed during a crash.
    struct record {
        std::uint64_t content = 0;
        std::uint64_t crash = 0;
        std::uint32_t age_ms = 0;
        bool released = false;

        MSGPACK_DEFINE(content, crash, age_ms, released)
    };

    /// The sender is still starting, so its records may be incomplete.
    bool is_new = false;
    std::vector<record> records;

    MSGPACK_DEFINE(is_new, records)
};

} // namespace trefoil
