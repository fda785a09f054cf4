#include "target_health.h"

#include "base/hash.h"

#include <algorithm>

namespace trefoil {

namespace {

/// More reporters than this add nothing to the decision.
constexpr std::size_t largest_report_count = 8;

/// Whether `at` lies within `lifetime` before `now`; false for mono_time::min(), which stands for
/// never and from which no difference can be taken.
bool is_recent(mono_time at, mono_time now, std::chrono::nanoseconds lifetime) noexcept
{
    return at != mono_time::min() && now - at < lifetime;
}

} // namespace

void target_health::succeeded(mono_time now)
{
    failures_ = 0;
    own_suspected_ = false;
    last_result_ = now;
    last_success_ = now;
}

void target_health::failed(membership_reason reason, mono_time now,
                           const member_view_options& options)
{
    last_result_ = now;
    if (failures_ == 0) {
        failing_since_ = now;
    }
    if (++failures_ >= options.failures_to_suspect) {
        own_suspected_ = true;
        own_reason_ = reason;
    }
}

void target_health::reported(const vm_name& peer, bool suspected, mono_time now)
{
    const auto known = std::ranges::find(reports_, peer, &std::pair<vm_name, mono_time>::first);
    if (!suspected) {
        if (known != reports_.end()) {
            reports_.erase(known);
        }
    }
    else if (known != reports_.end()) {
        known->second = now;
    }
    else if (reports_.size() < largest_report_count) {
        reports_.emplace_back(peer, now);
    }
}

void target_health::discard_evidence(mono_time now)
{
    failures_ = 0;
    last_result_ = mono_time::min();
    reports_.clear();
    next_trial_ = now;
}

bool target_health::evaluate(mono_time now, bool may_suspect, const member_view_options& options)
{
    std::erase_if(reports_, [&](const auto& report) {
        return !is_recent(report.second, now, options.report_lifetime);
    });
    // A node that reaches the target itself knows better than peers that do not.
    const bool by_peers = reports_.size() >= options.reports_to_suspect &&
                          !is_recent(last_success_, now, options.evidence_lifetime);
    const bool next = own_suspected_ || by_peers;
    if (next == suspected_ || (next && !may_suspect)) {
        return false;
    }
    suspected_ = next;
    if (next) {
        reason_ = own_suspected_ ? own_reason_ : membership_reason::peer_reports;
        trial_interval_ = options.initial_trial_delay;
        schedule_trial(now);
    }
    else {
        const bool reached = is_recent(last_success_, now, options.evidence_lifetime);
        reason_ = reached ? membership_reason::own_calls : membership_reason::reports_expired;
    }
    return true;
}

void target_health::trial_started(mono_time now, const member_view_options& options)
{
    trial_interval_ = std::min(trial_interval_ * 2, options.max_trial_interval);
    schedule_trial(now);
}

void target_health::schedule_trial(mono_time now)
{
    // Spread over three quarters to five quarters of the interval, so that the nodes that began to
    // suspect a target at the same time do not all try it at the same time.
    const auto percent = static_cast<std::int64_t>(75 + mix64(seed_ + ++trials_) % 50);
    next_trial_ = now + trial_interval_ * percent / 100;
}

} // namespace trefoil
