#pragma once

#include "base/time.h"
#include "base/versions.h"
#include "spread/content_digest.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace trefoil {

/// Where an offered text came from.
enum class version_source : std::uint8_t { platform, peer };

/// Result of offering a text to a version_guard.
enum class version_result : std::uint8_t {
    accepted,
    same,                ///< Already in force.
    older,               ///< Lower than the version in force.
    older_than_reported, ///< Lower than a version that a peer reported as in force.
    wrong_digest,        ///< The text does not have the digest that was stated for it.
    conflicting,         ///< Another text is known under the same version.
    /// Starting: the platform's version is accepted only after a peer has answered or after
    /// peer_wait. A list with this result is still used to find the peers to ask.
    waiting,
    invalid, ///< Failed validation (see refuse).
};

inline constexpr std::size_t version_result_count = 8;

/// For example `older-than-heard`; for logs and metrics.
std::string_view to_string(version_result result) noexcept;

/// `starting` until the first version is accepted.
enum class version_state : std::uint8_t { starting, in_force };

struct version_guard_options {
    /// How long a starting node waits for a peer's answer before it accepts the platform's version.
    std::chrono::nanoseconds peer_wait = std::chrono::seconds(5);
    /// How long a version reported by a peer blocks lower ones. Limited, so that a starting node is
    /// not left without a configuration if all nodes that had the reported version have terminated.
    std::chrono::nanoseconds report_lifetime = std::chrono::seconds(30);
};

/// Decides which version of a published text may take effect. The version in force never decreases.
/// Version is config_version or list_revision. Not thread-safe.
template<class Version>
class version_guard {
public:
    explicit version_guard(mono_time started, version_guard_options options = {});

    /// Records the version that a peer reported as in force in an exchange. Version 0 means none
    /// and is ignored, since that peer is itself starting. Must not be called with versions from
    /// call headers, which any caller can set: those may only trigger an exchange.
    void peer_reported(Version version, content_digest digest, mono_time now);

    /// Offers a text that has passed validation. `stated` is the digest that the source gave
    /// for it (equal to `actual` if the source gives none), `actual` that of the text received.
    /// Only `accepted` changes what is in force.
    version_result offer(Version version, content_digest stated, content_digest actual,
                         version_source source, mono_time now);

    /// Records that the text of this version failed validation. It is not offered and not fetched
    /// again.
    void refuse(Version version, content_digest digest);

    version_state state() const noexcept;
    /// 0 while starting.
    Version in_force() const noexcept { return in_force_; }
    content_digest digest() const noexcept { return digest_; }

    /// The highest version that is in force here or that a peer reported within report_lifetime.
    Version highest_known(mono_time now) const noexcept;

    /// A version higher than the one in force is known and was not refused, so it should be
    /// fetched from a peer that reported it.
    bool is_behind(mono_time now) const noexcept;

    /// The version to watch the platform from: the one in force, or a higher one that was refused.
    Version watch_after() const noexcept { return std::max(in_force_, refused_); }

    /// Number of times offer() returned this result; `conflicting` also counts conflicting peer
    /// reports.
    std::uint64_t count(version_result result) const noexcept;

private:
    version_result evaluate(Version version, content_digest stated, content_digest actual,
                            version_source source, mono_time now) const;

    version_guard_options options_;
    mono_time started_;
    Version in_force_{};
    content_digest digest_{};
    Version reported_{};
    content_digest reported_digest_{};
    mono_time reported_at_{};
    Version refused_{};
    content_digest refused_digest_{};
    bool peer_answered_ = false;
    std::array<std::uint64_t, version_result_count> counts_{};
};

extern template class version_guard<config_version>;
extern template class version_guard<list_revision>;

} // namespace trefoil
