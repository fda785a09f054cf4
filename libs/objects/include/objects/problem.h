#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

/// An error refuses the set; a warning is only shown to the operator.
enum class severity : std::uint8_t { error, warning };

/// A fault in a set of objects, with what an operator needs to mend it.
struct problem {
    std::string file;
    /// 1-based; 0 if the fault belongs to no line.
    std::uint32_t line = 0;
    /// For example `kind confirm_order`.
    std::string object;
    std::string message;
    std::string remedy;
    severity level = severity::error;
};

/// Whether any of the problems refuses the set.
bool has_errors(const std::vector<problem>& problems);

/// One line in the form of a compiler's message: `file:line: error: object: message; remedy`.
std::string describe(const problem& p);

} // namespace trefoil
