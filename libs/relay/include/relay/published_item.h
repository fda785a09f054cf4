#pragma once

#include <cstdint>
#include <string>

namespace trefoil {

/// One key-value item of the platform's store.
struct published_item {
    std::string key;
    /// For a removed item the value that it had before, if that is known and short.
    std::string value;
    /// Store revision of the last change to the key.
    std::uint64_t revision = 0;
    /// True if the key was removed at that revision.
    bool removed = false;
};

} // namespace trefoil
