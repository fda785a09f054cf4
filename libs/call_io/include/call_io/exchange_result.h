#pragma once

#include "call_io/message.h"

#include <cstdint>

namespace trefoil {

/// How far an exchange got. Decides whether a request without a response has the outcome `not-run`
/// or `unknown`.
enum class exchange_status : std::uint8_t {
    answered, ///< The complete response to this request was received.
    refused,  ///< No connection could be opened; nothing was written.
    not_sent, ///< Timed out, cancelled, throttled or failed with nothing written.
    lost,     ///< Written at least in part; no complete or matching response.
};

/// Result of connection_pool::exchange().
struct exchange_result {
    exchange_status status = exchange_status::not_sent;
    call_response response;
    /// The peer closed or reset the connection before its response was complete, as happens when
    /// the peer's process crashes. False if the response was too large, malformed or to another
    /// request.
    bool peer_closed = false;
    /// The deadline or the connect timeout passed. If false, a failure has another cause, such as a
    /// connection error or cancellation.
    bool timed_out = false;
};

} // namespace trefoil
