#pragma once

#include <cstddef>

namespace trefoil {

/// Number of threads in cpprestsdk's process-wide thread pool. The library's default of 40 threads
/// would exceed the memory budget of a node.
inline constexpr std::size_t default_control_threads = 4;

/// Creates the thread pool with `count` threads. Has no effect after the first call. The HTTP
/// clients call it with the default before they use the pool. If the pool already exists, logs a
/// warning.
void start_control_threads(std::size_t count = default_control_threads);

} // namespace trefoil
