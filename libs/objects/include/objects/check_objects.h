#pragma once

#include "objects/load_objects.h"
#include "objects/problem.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace trefoil {

/// Largest set and largest bundle, in bytes: the platform's limit for one value.
inline constexpr std::size_t max_set_bytes = 1'000'000;

/// Longest deadline of a kind: the id lifetime. A request that outlives its id could not be
/// recognised as a repeat any more.
inline constexpr std::chrono::milliseconds max_deadline{30'000};

/// Checks a whole set. Returns every problem, those found while reading included, ordered by file
/// and line. The set may be used if has_errors() is false for the result. When a text could not be
/// read at all, only the problems of reading are returned, since names would appear to be missing.
std::vector<problem> check_objects(const load_result& loaded);

} // namespace trefoil
