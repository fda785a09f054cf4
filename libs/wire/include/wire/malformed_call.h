#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

namespace trefoil {

/// Thrown when the path or a header of a call is missing, invalid, out of range or contradicts
/// another header.
class malformed_call : public error {
public:
    malformed_call(std::string_view field, std::string_view detail)
        : error(std::string(field) + ": " + std::string(detail)), field_(field)
    {
    }

    /// Name of the header, or `path`.
    const std::string& field() const noexcept { return field_; }

private:
    std::string field_;
};

} // namespace trefoil
