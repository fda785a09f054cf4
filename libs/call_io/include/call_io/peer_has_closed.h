#pragma once

#include "call_io/asio.h"

namespace trefoil {

/// Returns true if the peer closed or reset the connection, even if there is unread input before
/// the end. A peer that closed only its sending side looks the same.
bool peer_has_closed(tcp::socket& socket);

} // namespace trefoil
