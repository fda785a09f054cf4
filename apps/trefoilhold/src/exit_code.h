#pragma once

namespace trefoil {

/// Exit status of the tool, as documented in docs/OPERATIONS.md. The numbers must not change, since
/// operators' scripts depend on them.
enum class exit_code : int {
    success = 0,
    invalid_objects = 1, ///< Objects or a bundle did not pass the checks.
    usage = 2,           ///< The command line is invalid.
    file = 3,            ///< A file cannot be read or written.
    stale_base = 4,      ///< The base is not the bundle given by --expect-base.
    output_exists = 5,   ///< The output file exists already.
    node = 6,            ///< A node cannot be reached or its response is invalid.
    differences = 7,     ///< diff found differences.
};

} // namespace trefoil
