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

/// Identifies the content of a request, the same at every node and for every caller's repeat.
struct content_fingerprint {
    std::uint64_t value = 0;

    /// Sixteen hexadecimal digits, because JSON numbers do not hold 64 bits.
    std::string to_string() const;

    /// Reads the form of to_string. None if the text has another form.
    static std::optional<content_fingerprint> parse(std::string_view text) noexcept;

    friend bool operator==(content_fingerprint, content_fingerprint) = default;
    // clang-tidy 14 reports the zero that a defaulted comparison is compared with.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(content_fingerprint, content_fingerprint) = default;
};

/// Fingerprint of a request's service, path with query, and body.
content_fingerprint fingerprint_of(const service_name& service, std::string_view path,
                                   std::string_view body) noexcept;

/// Whether an answer with this status shows that the target ran the content to a good end. A
/// failure does not: a target that is in trouble may answer before it gets to what crashes the
/// others.
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
