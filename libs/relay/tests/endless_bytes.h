#pragma once

#include "call_io/asio.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <string>

namespace trefoil {

/// Writes `block` again and again until the peer closes the connection.
inline asio::awaitable<void> write_endlessly(tcp::socket& socket, std::string block)
{
    constexpr std::size_t write_size = std::size_t{64} * 1024;
    std::string bytes;
    while (bytes.size() < write_size) {
        bytes += block;
    }
    for (boost::system::error_code error; !error;) {
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace trefoil
