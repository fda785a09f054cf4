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

/// Thrown when a text is not a UUIDv7 in its 36-character form.
class invalid_request_id : public error {
public:
    explicit invalid_request_id(std::string_view text);
};

/// Identity of one request: a UUIDv7 (RFC 9562), which carries its creation time in milliseconds.
class request_id {
public:
    using bytes = std::array<std::uint8_t, 16>;

    request_id() = default;

    /// Reads the 36-character form. Throws invalid_request_id.
    static request_id parse(std::string_view text);

    /// Makes an id created at `now`; `random` supplies the 74 random bits.
    template<std::uniform_random_bit_generator Random>
    static request_id mint(wall_time now, Random& random)
    {
        std::uniform_int_distribution<std::uint64_t> draw;
        return from_parts(now, draw(random), draw(random));
    }

    /// Makes an id from its creation time and random bits; surplus bits are ignored.
    static request_id from_parts(wall_time created, std::uint64_t high, std::uint64_t low) noexcept;

    wall_time created_at() const noexcept;
    std::string to_string() const;

    /// Hash that is the same in every process.
    std::uint64_t hash() const noexcept;

    /// Position of this id in [0, 1), the same at every hop, compared with admit fractions.
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
