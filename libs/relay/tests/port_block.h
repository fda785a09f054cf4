#pragma once

#include "call_io/asio.h"

#include <vector>

namespace trefoil {

/// Consecutive ports that are free on all addresses and that no other test process uses while this
/// object exists. Its sockets are bound but never listen, so that listeners of this process can
/// share the ports.
class port_block {
public:
    static constexpr unsigned short size = 4;

    port_block()
    {
        for (unsigned short candidate = first_candidate; candidate < last_candidate;
             candidate += size) {
            if (reserve(candidate)) {
                first_ = candidate;
                return;
            }
        }
    }

    /// First port of the block; 0 if no block is free.
    unsigned short first() const noexcept { return first_; }

private:
    static constexpr unsigned short first_candidate = 21000;
    static constexpr unsigned short last_candidate = 32000;

    bool reserve(unsigned short first)
    {
        sockets_.clear();
        for (unsigned short i = 0; i < size; ++i) {
            tcp::acceptor socket(context_, tcp::v4());
            boost::system::error_code error;
            // Exclusive at first, so that two processes cannot get the same port.
            socket.bind({asio::ip::address_v4::any(), static_cast<unsigned short>(first + i)},
                        error);
            if (error) {
                return false;
            }
            socket.set_option(tcp::acceptor::reuse_address(true));
            sockets_.push_back(std::move(socket));
        }
        return true;
    }

    asio::io_context context_;
    std::vector<tcp::acceptor> sockets_;
    unsigned short first_ = 0;
};

} // namespace trefoil
