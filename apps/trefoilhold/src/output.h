#pragma once

#include <ostream>

namespace trefoil {

/// Where a command writes: results to `out`, errors and problems to `err`.
struct output {
    std::ostream& out;
    std::ostream& err;
};

} // namespace trefoil
