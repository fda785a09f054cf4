#pragma once

#include <cstdint>

namespace trefoil {

/// Result of sending a request to one target.
enum class call_outcome : std::uint8_t {
    answered,    ///< The complete response of the target was received.
    rejected,    ///< Rejected by the node of the target; the request has not run.
    not_run,     ///< The target received the request and reported that it did not run it.
    unreachable, ///< Not sent: the VM or the target was not reachable.
    no_response, ///< The request may have run, but no complete response was received.
};

} // namespace trefoil
