#pragma once

// Must precede awaitable.hpp, which in Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace trefoil {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

} // namespace trefoil
