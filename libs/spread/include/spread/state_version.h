#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace trefoil {

/// State version of the sender, carried by every message between nodes.
struct state_version {
    /// The sender has all changes up to this revision.
    std::uint64_t revision = 0;
    /// Age of the last contact with the store known to the sender, its own or another node's; empty
    /// if none is known.
    std::optional<std::chrono::milliseconds> contact_age;
};

} // namespace trefoil
