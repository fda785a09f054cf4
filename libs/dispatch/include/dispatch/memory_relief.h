#pragma once

#include <cstddef>
#include <vector>

namespace trefoil {

/// Selects what a process gives up when it holds more memory than its limit allows.
///
/// Load pattern: many clients at once that each stay within their own limits: they send large
/// bodies and leave them unfinished, or do not read long answers. The largest holdings are given up
/// first, since ordinary requests are small.
///
/// `holdings` has the bytes that each holder could free. Returns the indices of those to free so
/// that at least `excess` bytes become free, or of all that hold anything if that is not enough.
std::vector<std::size_t> holdings_to_free(const std::vector<std::size_t>& holdings,
                                          std::size_t excess);

} // namespace trefoil
