#include "once/lease_grants.h"

#include <algorithm>

namespace trefoil {

lease_grants::lease_grants(const once_options& options, const list_history& history,
                           mono_time started)
    : options_(&options), history_(&history), started_(started)
{
}

bool lease_grants::ready(mono_time now) const noexcept
{
    return recovered_ && now >= started_ + options_->lease + options_->lease_drift;
}

grant_result lease_grants::grant(const grant_request& request, mono_time now)
{
    grant_result result;
    result.ready = ready(now);
    result.revision = highest_granted_;
    const auto* current = history_->current();
    if (current != nullptr) {
        result.revision = std::max(result.revision, current->revision());
    }
    result.lists = history_->report(request.members_digest, now);
    if (!result.ready || current == nullptr || current->digest() != request.members_digest ||
        request.revision < history_->first_revision() || request.duration > options_->lease) {
        return result;
    }
    if (granted_digest_ != request.members_digest) {
        // A skipped revision must not come into force after a later one.
        if (now < granted_until_ || request.revision <= highest_granted_) {
            return result;
        }
        granted_digest_ = request.members_digest;
    }
    highest_granted_ = std::max(highest_granted_, request.revision);
    granted_until_ = std::max(granted_until_, now + request.duration + options_->lease_drift);
    result.revision = std::max(result.revision, highest_granted_);
    result.granted = true;
    return result;
}

} // namespace trefoil
