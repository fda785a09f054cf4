#include "call_io/peer_has_closed.h"

#include <poll.h>

namespace trefoil {

bool peer_has_closed(tcp::socket& socket)
{
    pollfd state{socket.native_handle(), POLLIN | POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace trefoil
