#pragma once

#include "base/hash.h"
#include "base/versions.h"

#include <string_view>

namespace trefoil {

/// Digest of a published text, for comparing copies between nodes. It detects accidents and two
/// texts under one version; it is not a protection against forgery.
using content_digest = strong_number<struct content_digest_tag>;

/// Digest of the whole text, the same in every process and release.
constexpr content_digest digest_of(std::string_view text) noexcept
{
    return {hash64(text)};
}

} // namespace trefoil
