#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace trefoil {

/// String wrapper with a distinct type for each `Tag`, so that names of different kinds cannot be
/// mixed up. `Tag` may be an incomplete type.
template<class Tag>
class strong_string {
public:
    strong_string() = default;
    explicit strong_string(std::string value) : value_(std::move(value)) {}

    const std::string& str() const noexcept { return value_; }
    bool empty() const noexcept { return value_.empty(); }

    friend bool operator==(const strong_string&, const strong_string&) = default;
    // clang-tidy 14 mistakes the literal 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const strong_string&, const strong_string&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_string& s)
    {
        return out << s.value_;
    }

private:
    std::string value_;
};

} // namespace trefoil

template<class Tag>
struct std::hash<trefoil::strong_string<Tag>> {
    std::size_t operator()(const trefoil::strong_string<Tag>& s) const noexcept
    {
        return std::hash<std::string>{}(s.str());
    }
};
