#pragma once

#include "base/names.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

/// Hash of the content of a request. Equal on all nodes, and for every retry by any caller.
struct content_fingerprint {
    std::uint64_t value = 0;

    /// Sixteen hexadecimal digits, because JSON numbers do not hold 64 bits.
    std::string to_string() const;

    /// Parses the format of `to_string`. None if the text has another format.
    static std::optional<content_fingerprint> parse(std::string_view text) noexcept;

    friend bool operator==(content_fingerprint, content_fingerprint) = default;
    // clang-tidy 14 mistakes the literal 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(content_fingerprint, content_fingerprint) = default;
};

/// Fingerprint of a request's service, path with query, and body.
content_fingerprint fingerprint_of(const service_name& service, std::string_view path,
                                   std::string_view body) noexcept;

/// Whether a response with this HTTP status shows that the target ran the content successfully. An
/// error response does not: a failing target may respond before it reaches the operation that
/// crashes other targets.
constexpr bool proves_harmless(unsigned status) noexcept
{
    constexpr unsigned first_failure = 400;
    return status < first_failure;
}

} // namespace trefoil

template<>
struct std::hash<trefoil::content_fingerprint> {
    std::size_t operator()(const trefoil::content_fingerprint& f) const noexcept { return f.value; }
};
