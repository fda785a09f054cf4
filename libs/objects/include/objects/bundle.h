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

/// Non-cryptographic digest of a bundle's version, base and objects: 32 lower-case hexadecimal
/// digits. It detects corruption and distinguishes bundles with the same version; it does not
/// protect against forgery.
using bundle_digest = strong_string<struct bundle_digest_tag>;

/// Identity of a bundle. The default value, version 0 without a digest, means no bundle.
struct bundle_id {
    config_version version;
    bundle_digest digest;

    friend bool operator==(const bundle_id&, const bundle_id&) = default;
    friend auto operator<=>(const bundle_id&, const bundle_id&) = default;
};

/// Thrown when a string is neither `VERSION:DIGEST` nor `none`.
class invalid_bundle_id : public error {
public:
    explicit invalid_bundle_id(std::string_view text);
};

/// Returns `VERSION:DIGEST`, or `none` for the default value.
std::string to_string(const bundle_id& id);

/// Parses the output of to_string. Throws invalid_bundle_id.
bundle_id parse_bundle_id(std::string_view text);

/// A configuration as published: a validated set of objects with its version.
struct bundle {
    config_version version;
    /// The bundle this one was edited from.
    bundle_id base;
    bundle_digest digest;
    /// Sorted by canonical_order.
    object_set objects;

    bundle_id id() const { return {version, digest}; }

    friend bool operator==(const bundle&, const bundle&) = default;
};

/// Thrown when a bundle cannot be parsed or built. Contains all problems found.
class invalid_bundle : public error {
public:
    explicit invalid_bundle(std::vector<problem> problems);

    const std::vector<problem>& problems() const noexcept { return problems_; }

private:
    std::vector<problem> problems_;
};

/// Parses a bundle and validates its size, its digest, its version (one above that of its base) and
/// its objects. `file` is used only as the source name in problems. Invalid input always results in
/// invalid_bundle, never in another exception.
bundle parse_bundle(std::string_view toml_text, const std::string& file = "bundle");

/// Builds the successor of `base`: assigns the next version and computes the digest. Throws
/// invalid_bundle if validation fails or the TOML text would exceed max_set_bytes.
bundle build_bundle(object_set objects, const bundle_id& base);

/// Serializes the bundle: the `[bundle]` table, then all objects in canonical order.
std::string to_toml(const bundle& b);

/// Whether a node that runs the bundle `current` may accept `candidate`. The candidate needs a
/// higher version, and if its base has the current version, the base must also have the current
/// digest. The base of a candidate that is two or more versions ahead is not available for
/// comparison, so such a candidate is accepted.
bool may_follow(const bundle& candidate, const bundle_id& current);

} // namespace trefoil
