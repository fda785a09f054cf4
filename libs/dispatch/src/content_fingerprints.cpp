#include "dispatch/content_fingerprints.h"

#include "base/hash.h"

#include <cstdint>
#include <initializer_list>

namespace trefoil {

namespace {

content_fingerprint combine(std::uint64_t body, std::initializer_list<std::string_view> parts)
{
    // Each part seeds the hash of the next, so that moving bytes between parts changes the result.
    for (const auto part : parts) {
        body = hash64(part, body);
    }
    return {body};
}

} // namespace

content_fingerprints fingerprints_of(const content_parts& parts)
{
    const auto path = parts.target.substr(0, parts.target.find('?'));
    const auto body = hash64(parts.body); // The only part that may be large is hashed once.
    return {combine(body, {parts.method, parts.host, parts.target}),
            combine(body, {path, parts.caller_service}), combine(body, {path})};
}

} // namespace trefoil
