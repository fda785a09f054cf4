#pragma once

#include "call_io/asio.h"

#include <functional>

namespace trefoil {

/// Listens on one endpoint and passes each accepted connection to a handler.
class acceptor {
public:
    /// Binds and listens. Throws boost::system::system_error if the endpoint cannot be used.
    acceptor(asio::io_context& context, const tcp::endpoint& local,
             std::function<void(tcp::socket)> accepted);

    void start() { accept(); }
    void close();

private:
    void accept();

    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    std::function<void(tcp::socket)> accepted_;
};

} // namespace trefoil
