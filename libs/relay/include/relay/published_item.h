#pragma once

#include <cstdint>
#include <string>

namespace trefoil {

/// One key-value item of the platform's store.
struct published_item {
    std::string key;
    std::string value;
    /// Store revision of the last change to the key.
    std::uint64_t revision = 0;
    /// True if the key was removed at that revision; the value is then empty.
    bool removed = false;
};

} // namespace trefoil
