#include "objects/bundle.h"
#include "value_ranges.h"

#include <algorithm>
#include <charconv>

namespace trefoil {

namespace {

constexpr std::string_view no_bundle = "none";
constexpr std::size_t digest_length = 32;

bool is_digest(std::string_view text)
{
    return text.size() == digest_length && std::ranges::all_of(text, [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

} // namespace

invalid_bundle_id::invalid_bundle_id(std::string_view text)
    : error("expected VERSION:DIGEST or none, got '" + std::string(text.substr(0, 64)) + "'")
{
}

std::string to_string(const bundle_id& id)
{
    if (id == bundle_id{}) {
        return std::string(no_bundle);
    }
    return std::to_string(id.version.value) + ':' + id.digest.str();
}

bundle_id parse_bundle_id(std::string_view text)
{
    if (text == no_bundle) {
        return {};
    }
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || !is_digest(text.substr(colon + 1))) {
        throw invalid_bundle_id(text);
    }
    std::int64_t version = 0;
    const auto* end = text.data() + colon;
    const auto read = std::from_chars(text.data(), end, version);
    if (read.ec != std::errc() || read.ptr != end || !version_range.contains(version)) {
        throw invalid_bundle_id(text);
    }
    return {{static_cast<std::uint64_t>(version)},
            bundle_digest(std::string(text.substr(colon + 1)))};
}

} // namespace trefoil
