#include "call_io/endpoint.h"

#include <charconv>
#include <cstdint>

namespace trefoil {

tcp::endpoint parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw invalid_endpoint(text);
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, port_error] =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    const bool complete = end == port_text.data() + port_text.size();
    if (error || port_error != std::errc() || !complete || port == 0) {
        throw invalid_endpoint(text);
    }
    return {address, port};
}

} // namespace trefoil
