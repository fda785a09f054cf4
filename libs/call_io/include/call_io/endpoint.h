#pragma once

#include "call_io/asio.h"

#include "base/error.h"

#include <string>
#include <string_view>

namespace trefoil {

/// Thrown when a string is not of the form `ip:port`.
class invalid_endpoint : public error {
public:
    explicit invalid_endpoint(std::string_view text)
        : error("not an endpoint of the form ip:port: '" + std::string(text) + "'")
    {
    }
};

/// Parses `ip:port`; the port is from 1 to 65535. Host names are not resolved. Throws
/// invalid_endpoint.
tcp::endpoint parse_endpoint(std::string_view text);

} // namespace trefoil
