#pragma once

#include <cstdint>
#include <vector>

#include <msgpack.hpp>

namespace trefoil {

/// A target crashed while it ran these contents. Sent to all nodes.
struct crash_message {
    /// Identifies the crash in the whole fleet.
    std::uint64_t crash = 0;
    std::vector<std::uint64_t> contents;

    MSGPACK_DEFINE(crash, contents)
};

/// Asks whether the receiver's target served the content. Answered only if it did.
struct content_question_message {
    std::uint64_t content = 0;

    MSGPACK_DEFINE(content)
};

/// A target served the content: the answer to a question, and what the node that asked tells all.
struct content_served_message {
    std::uint64_t content = 0;

    MSGPACK_DEFINE(content)
};

/// Asks for the receiver's records of crashes.
struct records_request_message {
    /// Of the sender's records.
    std::uint64_t digest = 0;
    /// The sender started a short while ago and is to be answered in any case.
    bool is_new = false;

    MSGPACK_DEFINE(digest, is_new)
};

/// The sender's records of crashes.
struct records_message {
    /// A content that was running at a crash.
    struct record {
        std::uint64_t content = 0;
        std::uint64_t crash = 0;
        std::uint32_t age_ms = 0;
        bool released = false;

        MSGPACK_DEFINE(content, crash, age_ms, released)
    };

    /// The sender itself started a short while ago, so that it may know little.
    bool is_new = false;
    std::vector<record> records;

    MSGPACK_DEFINE(is_new, records)
};

} // namespace trefoil
