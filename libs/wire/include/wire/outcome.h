#pragma once

#include <cstdint>
#include <string_view>

namespace trefoil {

/// What a caller learns about its request.
enum class outcome : std::uint8_t {
    complete, ///< The upstream's whole answer.
    not_run,  ///< The work did not run.
    unknown,  ///< The work may have run.
};

/// Text in the header `trefoil-outcome`: `complete`, `not-run`, `unknown`.
std::string_view to_string(outcome o) noexcept;

} // namespace trefoil
