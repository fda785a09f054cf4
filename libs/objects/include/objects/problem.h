#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

/// An error makes the set invalid; a warning is only reported to the operator.
enum class severity : std::uint8_t { error, warning };

/// A defect in a set of objects, described for the operator who has to correct it.
struct problem {
    std::string file;
    /// 1-based; 0 if the problem does not belong to a line.
    std::uint32_t line = 0;
    /// Type and name of the object, for example `kind confirm_order`.
    std::string object;
    std::string message;
    /// What the operator can do to correct the problem.
    std::string remedy;
    severity level = severity::error;
};

/// Whether at least one of the problems has severity::error.
bool has_errors(const std::vector<problem>& problems);

/// Formats a problem as one line, like a compiler message: `file:line: error: object: message;
/// remedy`.
std::string describe(const problem& p);

} // namespace trefoil
