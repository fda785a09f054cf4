#pragma once

#include "call_io/asio.h"

namespace trefoil {

/// Ends a connection on which everything was written. A socket that is closed while bytes of the
/// peer are unread resets the connection, and the peer may lose the answer; so what the peer still
/// sends is read and dropped for a while.
void close_lingering(tcp::socket socket);

} // namespace trefoil
