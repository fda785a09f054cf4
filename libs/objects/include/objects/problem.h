#pragma once

#include <cstdint>
#include <string>

namespace trefoil {

/// A fault in a set of objects, with what an operator needs to mend it.
struct problem {
    std::string file;
    /// 1-based; 0 if the fault belongs to no line.
    std::uint32_t line = 0;
    /// For example `kind confirm_order`.
    std::string object;
    std::string message;
    std::string remedy;
};

} // namespace trefoil
