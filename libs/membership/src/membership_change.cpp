#include "membership/membership_change.h"

#include <array>
#include <cstddef>

namespace trefoil {

namespace {

/// In the order of the enumerations.
constexpr std::array<std::string_view, 10> kind_names = {
    "added",    "removed",        "suspected",    "trusted", "leaving",
    "returned", "self-suspected", "self-trusted", "paused",  "refreshed"};
constexpr std::array<std::string_view, 11> reason_names = {"none",
                                                           "listed",
                                                           "not-listed",
                                                           "own-calls",
                                                           "connection-failures",
                                                           "peer-reports",
                                                           "reports-expired",
                                                           "drain-announced",
                                                           "newer-incarnation",
                                                           "most-suspected",
                                                           "pause"};

} // namespace

std::string_view to_string(membership_change_kind k) noexcept
{
    return kind_names[static_cast<std::size_t>(k)];
}

std::string_view to_string(membership_reason r) noexcept
{
    return reason_names[static_cast<std::size_t>(r)];
}

} // namespace trefoil
