#pragma once

#include <cstdint>
#include <string>

namespace trefoil {

/// One item as the platform's store holds it.
struct published_item {
    std::string key;
    std::string value;
    /// Revision of its last change.
    std::uint64_t revision = 0;
    /// It was removed at that revision; the value is empty.
    bool removed = false;
};

} // namespace trefoil
