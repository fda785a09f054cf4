#pragma once

#include "base/log_event.h"
#include "base/time.h"

#include <cstdint>
#include <string_view>

namespace trefoil {

/// Log lines about single requests, bounded so that overload does not turn into load by logging.
/// Lines beyond the bound are counted, and the count is written with the next line.
class decision_log {
public:
    /// A line to be filled and passed to `write`; false if the bound is reached.
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
