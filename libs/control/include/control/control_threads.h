#pragma once

#include <cstddef>

namespace trefoil {

/// Threads of cpprestsdk's process-wide pool. Its default of 40 exceeds a node's memory budget.
inline constexpr std::size_t default_control_threads = 4;

/// Sets the size of the pool if nothing has set it yet. control_server and the clients call it with
/// the default before their first use of the pool.
void start_control_threads(std::size_t count = default_control_threads);

} // namespace trefoil
