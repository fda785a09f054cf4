#pragma once

#include "quarantine/content_fingerprint.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// One crash of a target at which a content was running, as nodes tell it to each other.
struct content_crash {
    content_fingerprint content;
    /// Identifies the crash in the whole fleet, so that it counts once however often it is told.
    std::uint64_t crash = 0;
    /// Time since the crash, as a duration so that no clocks are compared.
    std::chrono::milliseconds age{0};
    /// A target served the content, so that this crash does not count.
    bool released = false;

    friend bool operator==(const content_crash&, const content_crash&) = default;
};

} // namespace trefoil
