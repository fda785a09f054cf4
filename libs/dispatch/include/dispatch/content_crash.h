#pragma once

#include "quarantine/content_fingerprint.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// One crash of a target while it ran a request with the given content, as reported between nodes.
struct content_crash {
    content_fingerprint content;
    /// Identifies the crash across the fleet, so that it is counted once however often it is
    /// reported.
    std::uint64_t crash = 0;
    /// Time since the crash. A duration, because the clocks of nodes are not comparable.
    std::chrono::milliseconds age{0};
    /// A target served a request with this content, so this crash no longer counts.
    bool released = false;

    friend bool operator==(const content_crash&, const content_crash&) = default;
};

} // namespace trefoil
