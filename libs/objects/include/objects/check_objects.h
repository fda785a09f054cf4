#pragma once

#include "objects/load_objects.h"
#include "objects/problem.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace trefoil {

/// Maximum size of an object set and of a bundle in bytes. This is the platform's limit for a
/// single value.
inline constexpr std::size_t max_set_bytes = 1'000'000;

/// Maximum deadline of a kind, equal to the lifetime of a request id. Repeats of a request that
/// outlives its id could no longer be detected.
inline constexpr std::chrono::milliseconds max_deadline{30'000};

/// Validates a complete set. Returns all problems, including those found while reading, ordered by
/// file and line. The set is usable if has_errors() is false for the result. If a file was too
/// large or could not be parsed, the objects are not validated, because references to the objects
/// of that file would be reported as unknown names.
std::vector<problem> check_objects(const load_result& loaded);

} // namespace trefoil
