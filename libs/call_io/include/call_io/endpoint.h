#pragma once

#include "call_io/asio.h"

#include "base/error.h"

#include <string>
#include <string_view>

namespace trefoil {

/// Thrown when a text is not `ip:port`. Names are not resolved.
class invalid_endpoint : public error {
public:
    explicit invalid_endpoint(std::string_view text)
        : error("not an endpoint of the form ip:port: '" + std::string(text) + "'")
    {
    }
};

/// Reads `ip:port`. Throws invalid_endpoint.
tcp::endpoint parse_endpoint(std::string_view text);

} // namespace trefoil
