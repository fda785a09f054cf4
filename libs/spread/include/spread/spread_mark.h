#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace trefoil {

/// What every message between nodes says about the published state that its sender has.
struct spread_mark {
    /// The sender has all changes up to this revision.
    std::uint64_t revision = 0;
    /// Age of the last contact with the store that the sender knows of, its own or another node's;
    /// none if it knows of none.
    std::optional<std::chrono::milliseconds> contact_age;
};

} // namespace trefoil
