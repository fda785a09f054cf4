#include "wire/refusal_reason.h"

#include <array>
#include <cstddef>

namespace trefoil {

namespace {

/// Indexed by the value of refusal_reason.
constexpr std::array<std::string_view, 22> header_values = {"none",
                                                            "malformed",
                                                            "unknown-object",
                                                            "no-configuration",
                                                            "draining",
                                                            "upstream-down",
                                                            "upstream-shed",
                                                            "queue-full",
                                                            "cannot-finish",
                                                            "deadline-passed",
                                                            "admit-fraction",
                                                            "retry-budget",
                                                            "no-target",
                                                            "not-owner",
                                                            "no-lease",
                                                            "ownership-uncertain",
                                                            "already-handed-off",
                                                            "id-expired",
                                                            "quarantined",
                                                            "connection-lost",
                                                            "upstream-crashed",
                                                            "cancelled"};

static_assert(header_values.size() == static_cast<std::size_t>(refusal_reason::cancelled) + 1,
              "each refusal_reason needs a header value");

} // namespace

std::string_view to_string(refusal_reason r) noexcept
{
    return header_values[static_cast<std::size_t>(r)];
}

} // namespace trefoil
