#include "base/request_id.h"

#include "base/hash.h"

#include <cstddef>

namespace trefoil {

namespace {

constexpr std::size_t text_length = 36;
constexpr std::string_view hex_digits = "0123456789abcdef";

bool is_dash_position(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

int hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

std::uint64_t read_big_endian(const std::uint8_t* first, std::size_t count)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i) {
        value = (value << 8U) | first[i];
    }
    return value;
}

void write_big_endian(std::uint8_t* first, std::size_t count, std::uint64_t value)
{
    for (std::size_t i = count; i-- > 0;) {
        first[i] = static_cast<std::uint8_t>(value & 0xffU);
        value >>= 8U;
    }
}

} // namespace

invalid_request_id::invalid_request_id(std::string_view text)
    : error("not a UUIDv7: '" + std::string(text.substr(0, text_length)) + "'")
{
}

request_id request_id::parse(std::string_view text)
{
    if (text.size() != text_length) {
        throw invalid_request_id(text);
    }
    request_id id;
    std::size_t nibble = 0;
    for (std::size_t i = 0; i < text_length; ++i) {
        if (is_dash_position(i)) {
            if (text[i] != '-') {
                throw invalid_request_id(text);
            }
            continue;
        }
        const int value = hex_value(text[i]);
        if (value < 0) {
            throw invalid_request_id(text);
        }
        auto& byte = id.bytes_[nibble / 2];
        byte = static_cast<std::uint8_t>((byte << 4U) | static_cast<unsigned>(value));
        ++nibble;
    }
    const bool is_version_7 = (id.bytes_[6] >> 4U) == 7;
    const bool is_rfc_variant = (id.bytes_[8] >> 6U) == 2;
    if (!is_version_7 || !is_rfc_variant) {
        throw invalid_request_id(text);
    }
    return id;
}

request_id request_id::from_parts(wall_time created, std::uint64_t high, std::uint64_t low) noexcept
{
    request_id id;
    const auto millis = static_cast<std::uint64_t>(created.time_since_epoch().count());
    write_big_endian(id.bytes_.data(), 6, millis);
    write_big_endian(id.bytes_.data() + 6, 2, 0x7000U | (high & 0x0fffU));
    write_big_endian(id.bytes_.data() + 8, 8, (low & 0x3fffffffffffffffU) | 0x8000000000000000U);
    return id;
}

wall_time request_id::created_at() const noexcept
{
    return wall_time(std::chrono::milliseconds(read_big_endian(bytes_.data(), 6)));
}

std::string request_id::to_string() const
{
    std::string text;
    text.reserve(text_length);
    for (const std::uint8_t byte : bytes_) {
        if (is_dash_position(text.size())) {
            text.push_back('-');
        }
        text.push_back(hex_digits[byte >> 4U]);
        text.push_back(hex_digits[byte & 0x0fU]);
    }
    return text;
}

std::uint64_t request_id::hash() const noexcept
{
    return mix64(read_big_endian(bytes_.data(), 8) ^ mix64(read_big_endian(bytes_.data() + 8, 8)));
}

double request_id::admit_point() const noexcept
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(mix64(hash()) >> 11U) * scale;
}

} // namespace trefoil
