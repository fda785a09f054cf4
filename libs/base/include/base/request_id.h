#pragma once

#include "base/error.h"
#include "base/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <random>
#include <string>
#include <string_view>

namespace trefoil {

/// Thrown when a string is not a UUIDv7 in its 36-character form.
class invalid_request_id : public error {
public:
    explicit invalid_request_id(std::string_view text);
};

/// Identifies one request: a UUIDv7 (RFC 9562), which carries its creation time in milliseconds.
/// A default-constructed id is all zeros.
class request_id {
public:
    using bytes = std::array<std::uint8_t, 16>;

    request_id() = default;

    /// Parses the 36-character form. Throws invalid_request_id.
    static request_id parse(std::string_view text);

    /// Generates an id with creation time `now`; `random` supplies the 74 random bits.
    template<std::uniform_random_bit_generator Random>
    static request_id mint(wall_time now, Random& random)
    {
        std::uniform_int_distribution<std::uint64_t> draw;
        return from_parts(now, draw(random), draw(random));
    }

    /// Builds an id from its creation time and its random bits: the low 12 bits of `high` and the
    /// low 62 bits of `low`; the other bits are ignored.
    static request_id from_parts(wall_time created, std::uint64_t high, std::uint64_t low) noexcept;

    /// Creation time encoded in the id, with a resolution of 1 ms.
    wall_time created_at() const noexcept;

    /// The 36-character form, in lower case.
    std::string to_string() const;

    /// Hash that is the same in every process.
    std::uint64_t hash() const noexcept;

    /// Maps the id to a uniformly distributed value in [0, 1), which admission compares with the
    /// admit fraction. Every hop computes the same value.
    double admit_point() const noexcept;

    friend bool operator==(const request_id&, const request_id&) = default;
    friend auto operator<=>(const request_id&, const request_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const request_id& id)
    {
        return out << id.to_string();
    }

private:
    bytes bytes_{};
};

} // namespace trefoil

template<>
struct std::hash<trefoil::request_id> {
    std::size_t operator()(const trefoil::request_id& id) const noexcept { return id.hash(); }
};
