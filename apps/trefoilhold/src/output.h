#pragma once

#include <ostream>

namespace trefoil {

/// Output streams of a command: `out` for results, `err` for errors and problems.
struct output {
    std::ostream& out;
    std::ostream& err;
};

} // namespace trefoil
