#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

namespace trefoil {

/// Thrown when the headers or the path of a call are missing, contradictory or out of range.
class malformed_call : public error {
public:
    malformed_call(std::string_view field, std::string_view detail)
        : error(std::string(field) + ": " + std::string(detail)), field_(field)
    {
    }

    const std::string& field() const noexcept { return field_; }

private:
    std::string field_;
};

} // namespace trefoil
