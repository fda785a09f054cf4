#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace trefoil {

/// Monotonically increasing version number with a distinct type for each `Tag`, so that versions of
/// different kinds cannot be mixed up.
template<class Tag>
struct strong_number {
    std::uint64_t value = 0;

    friend bool operator==(strong_number, strong_number) = default;
    // clang-tidy 14 mistakes the literal 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(strong_number, strong_number) = default;
    friend std::ostream& operator<<(std::ostream& out, strong_number n) { return out << n.value; }
};

/// Version of the published configuration bundle; 0 if the node has accepted none yet.
using config_version = strong_number<struct config_version_tag>;

/// Revision of the platform's VM list; 0 if the node has read none yet.
using list_revision = strong_number<struct list_revision_tag>;

/// Identifies one run of a node's process by its start time, in wall-clock milliseconds, so that a
/// restarted or replaced VM of the same name has a higher number; 0 if it is not known yet.
using vm_incarnation = strong_number<struct vm_incarnation_tag>;

} // namespace trefoil
