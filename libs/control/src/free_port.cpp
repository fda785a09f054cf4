#include "control/free_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace trefoil {

std::uint16_t find_free_port(const std::string& address)
{
    using boost::asio::ip::tcp;
    boost::system::error_code failed;
    const auto ip = boost::asio::ip::make_address(address, failed);
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    if (!failed) {
        acceptor.open(ip.is_v4() ? tcp::v4() : tcp::v6(), failed);
    }
    if (!failed) {
        acceptor.bind({ip, 0}, failed);
    }
    return failed ? std::uint16_t{0} : acceptor.local_endpoint(failed).port();
}

} // namespace trefoil
