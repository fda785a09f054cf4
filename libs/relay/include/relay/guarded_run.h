#pragma once

#include "call_io/asio.h"

namespace trefoil {

/// Runs the context until it is stopped or has no more work. An exception thrown by a handler is
/// logged and ends only that handler, so that one faulty request or message cannot terminate the
/// process and all other requests with it. Returns the number of such exceptions.
std::size_t guarded_run(asio::io_context& context);

} // namespace trefoil
