#pragma once

#include <cstdint>

namespace trefoil {

/// How sending a request to one target ended.
enum class call_outcome : std::uint8_t {
    answered,    ///< The whole answer of the target arrived.
    turned_away, ///< The node beside the target did not hand it over; it has not run.
    declined,    ///< The target received it and says that it did not run it.
    unreachable, ///< Not sent: the VM or the target could not be reached.
    lost,        ///< It may have run, and no whole answer arrived.
};

} // namespace trefoil
