#pragma once

#include <cstdint>
#include <limits>

namespace trefoil {

/// Inclusive range of an integer.
struct integer_range {
    std::int64_t min = 0;
    std::int64_t max = 0;

    constexpr bool contains(std::int64_t value) const { return value >= min && value <= max; }
};

/// The upper bounds are far above the needs of any deployment. They catch typing errors such as an
/// extra digit, and keep sums of shares and products with the number of targets from overflowing.
inline constexpr integer_range order_range{0, 1'000'000};
inline constexpr integer_range retries_range{0, 100};
inline constexpr integer_range slots_range{1, 100'000};
inline constexpr integer_range connections_range{1, 1'000'000};
inline constexpr double max_share = 1e9;

/// Used for deadlines, whose range is checked by check_values and not while reading.
inline constexpr integer_range any_integer{std::numeric_limits<std::int64_t>::min(),
                                           std::numeric_limits<std::int64_t>::max()};

/// Versions stay below 2^53, so that JSON parsers that use doubles represent them exactly.
inline constexpr integer_range version_range{1, 1'000'000'000'000'000};

} // namespace trefoil
