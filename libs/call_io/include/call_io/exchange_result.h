#pragma once

#include "call_io/message.h"

#include <cstdint>

namespace trefoil {

/// How far an exchange got; decides between `not-run` and `unknown`.
enum class exchange_status : std::uint8_t {
    answered, ///< The whole answer arrived and belongs to the request.
    refused,  ///< The peer accepted no connection; nothing was written.
    not_sent, ///< Time ran out or the caller went away before any byte was written.
    lost,     ///< Written at least in part, and no whole answer arrived.
};

/// Result of one request on one connection.
struct exchange_result {
    exchange_status status = exchange_status::not_sent;
    call_response response;
    /// The peer closed or reset the connection before its answer was whole, as a process does that
    /// dies. False for an answer that is too large, unreadable or of another request.
    bool peer_closed = false;
    /// The deadline passed; otherwise the connection failed or the caller went away.
    bool timed_out = false;
};

} // namespace trefoil
