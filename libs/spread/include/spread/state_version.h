#pragma once

#include "spread/published_version.h"

#include <chrono>
#include <optional>

namespace trefoil {

/// State version of the sender, carried by every message between nodes.
struct state_version {
    /// The sender has all changes up to this version.
    published_version version;
    /// Age of the last contact with the store known to the sender, its own or another node's; empty
    /// if none is known.
    std::optional<std::chrono::milliseconds> contact_age;
};

} // namespace trefoil
