#include "spread/version_guard.h"

namespace trefoil {

std::string_view to_string(version_result result) noexcept
{
    static constexpr std::array<std::string_view, version_result_count> names{
        "accepted",     "same",        "older",   "older-than-heard",
        "wrong-digest", "conflicting", "waiting", "invalid"};
    return names[static_cast<std::size_t>(result)];
}

template<class Version>
version_guard<Version>::version_guard(mono_time started, version_guard_options options)
    : options_(options), started_(started)
{
}

template<class Version>
void version_guard<Version>::peer_reported(Version version, content_digest digest, mono_time now)
{
    if (version == Version{}) {
        return;
    }
    peer_answered_ = true;
    const bool differs_from_own = version == in_force_ && digest != digest_;
    const bool differs_from_reported =
        version == reported_ && digest != reported_digest_ && highest_known(now) == reported_;
    if (differs_from_own || differs_from_reported) {
        ++counts_[static_cast<std::size_t>(version_result::conflicting)];
        return;
    }
    if (version >= highest_known(now)) {
        reported_ = version;
        reported_digest_ = digest;
        reported_at_ = now;
    }
}

template<class Version>
version_result version_guard<Version>::offer(Version version, content_digest stated,
                                             content_digest actual, version_source source,
                                             mono_time now)
{
    const auto result = evaluate(version, stated, actual, source, now);
    ++counts_[static_cast<std::size_t>(result)];
    if (result == version_result::accepted) {
        in_force_ = version;
        digest_ = actual;
    }
    return result;
}

template<class Version>
version_result version_guard<Version>::evaluate(Version version, content_digest stated,
                                                content_digest actual, version_source source,
                                                mono_time now) const
{
    if (version == Version{}) {
        return version_result::older;
    }
    if (stated != actual) {
        return version_result::wrong_digest;
    }
    if (version == in_force_) {
        return actual == digest_ ? version_result::same : version_result::conflicting;
    }
    if (version < in_force_) {
        return version_result::older;
    }
    if (version < highest_known(now)) {
        return version_result::older_than_reported;
    }
    if (version == highest_known(now) && actual != reported_digest_) {
        return version_result::conflicting;
    }
    const bool may_trust_platform = peer_answered_ || now - started_ >= options_.peer_wait;
    if (state() == version_state::starting && source == version_source::platform &&
        !may_trust_platform) {
        return version_result::waiting;
    }
    return version_result::accepted;
}

template<class Version>
void version_guard<Version>::refuse(Version version, content_digest digest)
{
    ++counts_[static_cast<std::size_t>(version_result::invalid)];
    if (version >= refused_) {
        refused_ = version;
        refused_digest_ = digest;
    }
}

template<class Version>
bool version_guard<Version>::is_behind(mono_time now) const noexcept
{
    const auto highest = highest_known(now);
    const bool was_refused = highest == refused_ && reported_digest_ == refused_digest_;
    return highest > in_force_ && !was_refused;
}

template<class Version>
version_state version_guard<Version>::state() const noexcept
{
    return in_force_ == Version{} ? version_state::starting : version_state::in_force;
}

template<class Version>
Version version_guard<Version>::highest_known(mono_time now) const noexcept
{
    const bool is_report_recent = now - reported_at_ < options_.report_lifetime;
    return is_report_recent && reported_ > in_force_ ? reported_ : in_force_;
}

template<class Version>
std::uint64_t version_guard<Version>::count(version_result result) const noexcept
{
    return counts_[static_cast<std::size_t>(result)];
}

template class version_guard<config_version>;
template class version_guard<list_revision>;

} // namespace trefoil
