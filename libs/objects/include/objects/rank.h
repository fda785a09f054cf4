#pragma once

#include "base/names.h"

namespace trefoil {

/// A priority class of requests.
struct rank {
    rank_name name;
    /// Ranks with a lower order are more urgent. Unique among ranks.
    int order = 0;
    /// Weight that determines the fraction of capacity reserved for this rank under overload. 0
    /// means that the rank is served only after all others.
    double share = 0.0;

    friend bool operator==(const rank&, const rank&) = default;
};

} // namespace trefoil
