#pragma once

#include "quarantine/content_fingerprint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace trefoil {

/// A target crashed while it ran these contents. Sent to the nodes that count them.
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

/// The sender's target served the content.
struct content_served_message {
    std::uint64_t content = 0;

    MSGPACK_DEFINE(content)
};

/// The content crashes targets and is to be held back for this time.
struct hold_back_message {
    std::uint64_t content = 0;
    std::uint32_t left_ms = 0;

    MSGPACK_DEFINE(content, left_ms)
};

/// Content of a request as nodes compare it: what it asks for, and its body.
inline content_fingerprint content_of(std::string_view method, std::string_view host,
                                      std::string_view target, std::string_view body)
{
    std::string path(method);
    path.append(" ").append(host).append(target);
    return fingerprint_of(service_name(), path, body);
}

} // namespace trefoil
