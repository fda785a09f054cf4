#pragma once

#include "connection_resources.h"

#include "call_io/asio.h"

#include <memory>

namespace trefoil {

/// Closes a connection after all output was written. Closing a socket that has unread input resets
/// the connection, and the peer may lose the answer, so further input is read and discarded for a
/// limited time first. Closes it at once if too many connections wait already.
void close_lingering(tcp::socket socket, const std::shared_ptr<connection_resources>& resources);

} // namespace trefoil
