#pragma once

#include "base/names.h"

namespace trefoil {

/// A tenant: an organisation that shares the call graph with other organisations.
struct group {
    group_name name;
    /// Weight of this group relative to the other groups of a rank. Must be greater than 0.
    double share = 1.0;

    friend bool operator==(const group&, const group&) = default;
};

} // namespace trefoil
