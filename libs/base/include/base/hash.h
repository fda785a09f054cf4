#pragma once

#include <cstdint>
#include <string_view>

namespace trefoil {

/// Mixes a 64-bit value so that every input bit affects every output bit (splitmix64 finalizer).
constexpr std::uint64_t mix64(std::uint64_t x) noexcept
{
    x ^= x >> 30U;
    x *= 0xbf58476d1ce4e5b9U;
    x ^= x >> 27U;
    x *= 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

/// Stable hash of a string (FNV-1a followed by mix64). Unlike std::hash, it gives the same value in
/// every process and release. Nodes compute the owner of a request id from it, so it must not
/// change between versions.
constexpr std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept
{
    std::uint64_t h = 0xcbf29ce484222325U ^ mix64(seed);
    for (const char c : text) {
        h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
    return mix64(h);
}

} // namespace trefoil
