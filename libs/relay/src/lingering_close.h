#pragma once

#include "call_io/asio.h"

namespace trefoil {

/// Closes a connection after all output was written. Closing a socket that has unread input resets
/// the connection, and the peer may lose the answer, so further input is read and discarded for a
/// limited time first.
void close_lingering(tcp::socket socket);

} // namespace trefoil
