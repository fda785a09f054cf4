#pragma once

#include "base/error.h"

#include <chrono>
#include <string>
#include <string_view>

namespace trefoil {

/// Thrown when the control file holds none of the known modes.
class invalid_platform_mode : public error {
public:
    explicit invalid_platform_mode(std::string_view text);
};

enum class platform_availability {
    up,
    refusing, ///< Every call is answered with status 503.
    closed,   ///< The port is closed.
};

/// How the stand-in behaves; read from its control file.
struct platform_mode {
    platform_availability availability = platform_availability::up;
    /// Replaced files are not read again.
    bool stale = false;
    /// Added before every answer.
    std::chrono::milliseconds delay{0};

    friend bool operator==(const platform_mode&, const platform_mode&) = default;
};

/// Reads words in any order: `up`, `refuse`, `close`, `stale`, `slow MS`; an empty text means `up`.
/// Throws invalid_platform_mode.
platform_mode parse_platform_mode(std::string_view text);

} // namespace trefoil
