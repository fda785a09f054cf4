#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>

namespace trefoil {

/// Version of the state published in the store. A store that returns from an older copy starts a
/// new era and gives out revisions again, so that a later era is newer at any revision.
struct published_version {
    /// Number of times the store has returned from an older copy, as it states it; 0 if unknown.
    std::uint64_t era = 0;
    /// Number of the last change within the era.
    std::uint64_t revision = 0;

    friend bool operator==(const published_version&, const published_version&) = default;
    // clang-tidy 14 mistakes the literal 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const published_version&, const published_version&) = default;
    friend std::ostream& operator<<(std::ostream& out, const published_version& v)
    {
        return out << v.era << '/' << v.revision;
    }
};

/// How the era of an answer relates to the newest known one.
enum class era_order : std::uint8_t { older, same, newer };

/// Compares the era that an answer states with the newest known one. An answer without an era
/// counts as one of the known era.
constexpr era_order compare_eras(const std::optional<std::uint64_t>& stated, std::uint64_t known)
{
    if (!stated || *stated == known) {
        return era_order::same;
    }
    return *stated < known ? era_order::older : era_order::newer;
}

} // namespace trefoil
