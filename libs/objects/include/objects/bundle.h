#pragma once

#include "base/error.h"
#include "base/strong_string.h"
#include "base/versions.h"
#include "objects/object_set.h"
#include "objects/problem.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Digest of a bundle's version, base and objects: 32 lower-case hexadecimal digits. It detects
/// damage and distinguishes bundles of equal version; it is no protection against forgery.
using bundle_digest = strong_string<struct bundle_digest_tag>;

/// Identity of a bundle. The default value, version 0 without a digest, means no bundle.
struct bundle_id {
    config_version version;
    bundle_digest digest;

    friend bool operator==(const bundle_id&, const bundle_id&) = default;
    friend auto operator<=>(const bundle_id&, const bundle_id&) = default;
};

/// Thrown when a text is not of the form `VERSION:DIGEST` or `none`.
class invalid_bundle_id : public error {
public:
    explicit invalid_bundle_id(std::string_view text);
};

/// `VERSION:DIGEST`, or `none` for the default value.
std::string to_string(const bundle_id& id);

/// Reads the form that to_string writes. Throws invalid_bundle_id.
bundle_id parse_bundle_id(std::string_view text);

/// A published configuration: one checked set of objects with its version.
struct bundle {
    config_version version;
    /// The bundle this one was edited from.
    bundle_id base;
    bundle_digest digest;
    /// In canonical order.
    object_set objects;

    bundle_id id() const { return {version, digest}; }

    friend bool operator==(const bundle&, const bundle&) = default;
};

/// Thrown when a bundle cannot be read or built; carries every problem found.
class invalid_bundle : public error {
public:
    explicit invalid_bundle(std::vector<problem> problems);

    const std::vector<problem>& problems() const noexcept { return problems_; }

private:
    std::vector<problem> problems_;
};

/// Reads a bundle and verifies its size, its digest, its version (one above its base) and its
/// objects. `file` only names the source in problems. Throws invalid_bundle; never any other
/// failure on bad input.
bundle parse_bundle(std::string_view toml_text, const std::string& file = "bundle");

/// Makes the bundle that follows `base`, with the next version and its digest. Throws
/// invalid_bundle if the checks fail or the text would exceed max_set_bytes.
bundle build_bundle(object_set objects, const bundle_id& base);

/// The bundle's text: the `[bundle]` table and all objects in canonical order.
std::string to_toml(const bundle& b);

/// Whether a holder of `in_force` may accept `candidate`: its version is higher, and if it was
/// edited from the version in force, it names the digest in force. A candidate that is two or more
/// versions ahead cannot be compared with its base and is accepted.
bool may_follow(const bundle& candidate, const bundle_id& in_force);

} // namespace trefoil
