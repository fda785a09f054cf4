#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace trefoil {

/// A number that only grows and cannot be confused with one of another kind.
template<class Tag>
struct strong_number {
    std::uint64_t value = 0;

    friend bool operator==(strong_number, strong_number) = default;
    // clang-tidy 14 takes the literal 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(strong_number, strong_number) = default;
    friend std::ostream& operator<<(std::ostream& out, strong_number n) { return out << n.value; }
};

/// Version of the published configuration bundle; 0 means that none has been accepted.
using config_version = strong_number<struct config_version_tag>;

/// Revision of the platform's VM list; 0 means that none has been read.
using list_revision = strong_number<struct list_revision_tag>;

} // namespace trefoil
