#pragma once

#include "base/names.h"

namespace trefoil {

/// An organisation that shares the call graph with others.
struct group {
    group_name name;
    /// Weight among all groups of a rank; greater than 0.
    double share = 1.0;

    friend bool operator==(const group&, const group&) = default;
};

} // namespace trefoil
