#pragma once

#include "call_io/asio.h"

namespace trefoil {

/// Runs the context until it is stopped. An exception that leaves a handler is logged and ends only
/// that handler: one request or message must not end the process and with it all others. Returns
/// how many there were.
std::size_t guarded_run(asio::io_context& context);

} // namespace trefoil
