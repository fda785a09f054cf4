#pragma once

#include <cstdint>
#include <limits>

namespace trefoil {

/// Range of a whole number, both ends included.
struct integer_range {
    std::int64_t min = 0;
    std::int64_t max = 0;

    constexpr bool contains(std::int64_t value) const { return value >= min && value <= max; }
};

/// Upper ends are far above any deployment; they catch a slipped digit and keep sums of shares and
/// products with the number of targets within range.
inline constexpr integer_range order_range{0, 1'000'000};
inline constexpr integer_range retries_range{0, 100};
inline constexpr integer_range slots_range{1, 100'000};
inline constexpr integer_range connections_range{1, 1'000'000};
inline constexpr double max_share = 1e9;

/// Deadlines are checked with the other rules; reading accepts any number.
inline constexpr integer_range any_integer{std::numeric_limits<std::int64_t>::min(),
                                           std::numeric_limits<std::int64_t>::max()};

/// Versions stay below 2^53, so that JSON readers which use doubles keep them exact.
inline constexpr integer_range version_range{1, 1'000'000'000'000'000};

} // namespace trefoil
