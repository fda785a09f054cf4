#pragma once

#include "base/error.h"

#include <string>

namespace trefoil {

/// Thrown when a text is not a message between nodes or exceeds a bound.
class invalid_message : public error {
public:
    explicit invalid_message(const std::string& detail) : error("invalid message: " + detail) {}
};

} // namespace trefoil
