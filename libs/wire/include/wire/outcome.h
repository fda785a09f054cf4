#pragma once

#include <cstdint>
#include <string_view>

namespace trefoil {

/// Outcome of a request as reported to its caller.
enum class outcome : std::uint8_t {
    complete, ///< The upstream's complete answer was received.
    not_run,  ///< The request was not executed.
    unknown,  ///< The request may have been executed.
};

/// Value of the header `trefoil-outcome`: `complete`, `not-run`, `unknown`.
std::string_view to_string(outcome o) noexcept;

} // namespace trefoil
