#pragma once

#include <cstdint>

namespace trefoil {

/// How far a request had got when it was cancelled.
enum class request_stage : std::uint8_t {
    /// No bytes of it were passed on to the node of a target.
    unsent,
    /// Sent to the node of the target, which is told of the cancellation.
    at_peer,
    /// Waited at this node for a slot of the own target.
    queued,
    /// Waited at this node for the id of the own target.
    awaiting_identity,
    /// Waited for a connection to the own target; nothing was written to it.
    connecting,
    /// Written to the own target, which may be running it.
    running,
};

/// The name of the stage in log lines and metrics.
inline const char* to_string(request_stage stage)
{
    switch (stage) {
    case request_stage::unsent:
        return "unsent";
    case request_stage::at_peer:
        return "at-peer";
    case request_stage::queued:
        return "queued";
    case request_stage::awaiting_identity:
        return "awaiting-identity";
    case request_stage::connecting:
        return "connecting";
    case request_stage::running:
        return "running";
    }
    return "unknown";
}

} // namespace trefoil
