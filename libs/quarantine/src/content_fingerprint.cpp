#include "quarantine/content_fingerprint.h"

#include "base/hash.h"

#include <charconv>

namespace trefoil {

namespace {

constexpr std::size_t text_length = 16;

} // namespace

std::string content_fingerprint::to_string() const
{
    std::string text(text_length, '0');
    std::uint64_t rest = value;
    for (std::size_t i = text_length; i-- > 0; rest >>= 4U) {
        text[i] = "0123456789abcdef"[rest & 0x0fU];
    }
    return text;
}

std::optional<content_fingerprint> content_fingerprint::parse(std::string_view text) noexcept
{
    content_fingerprint result;
    if (text.size() != text_length) {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(text.begin(), text.end(), result.value, 16);
    if (error != std::errc{} || end != text.end()) {
        return std::nullopt;
    }
    return result;
}

content_fingerprint fingerprint_of(const service_name& service, std::string_view path,
                                   std::string_view body) noexcept
{
    // Each part seeds the hash of the next, so that moving bytes between parts changes the result.
    return {hash64(body, hash64(path, hash64(service.str())))};
}

} // namespace trefoil
