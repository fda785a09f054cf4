#pragma once

#include "base/names.h"

namespace trefoil {

/// A class of urgency.
struct rank {
    rank_name name;
    /// A lower order is more urgent. Unique among ranks.
    int order = 0;
    /// Weight of the capacity this rank keeps under overload. 0: served only after all others.
    double share = 0.0;

    friend bool operator==(const rank&, const rank&) = default;
};

} // namespace trefoil
