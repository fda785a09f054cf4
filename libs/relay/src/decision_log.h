#pragma once

#include "base/log_event.h"
#include "base/time.h"

#include <cstdint>
#include <string_view>

namespace trefoil {

/// Rate-limited log of decisions about single requests, so that logging adds little load during
/// overload. Lines above the limit are dropped, and their number is written with the next line.
class decision_log {
public:
    /// Returns true if a line may be passed to `write`; counts a dropped line and returns false if
    /// the rate limit is reached.
    bool begin(mono_time now);

    void write(log_event line);

    std::uint64_t dropped() const noexcept { return dropped_; }

private:
    double tokens_ = 0.0;
    mono_time refilled_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_since_line_ = 0;
};

} // namespace trefoil
