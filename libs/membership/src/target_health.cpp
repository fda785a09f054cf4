#include "target_health.h"

#include "base/hash.h"

#include <algorithm>

namespace trefoil {

namespace {

/// Bounds the stored reports; further reporters do not change the decision.
constexpr std::size_t max_reporters = 8;

/// Whether `at` is within `lifetime` before `now`. False for mono_time::min(), which means never
/// and with which the difference would overflow.
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
    else if (reports_.size() < max_reporters) {
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
    // A recent success of an own call is better evidence than the reports of peers, which cannot
    // reach the target.
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
    // Jitter of 0.75 to 1.25 intervals, so that nodes that began to suspect a target at the same
    // time do not all call it at the same time.
    const auto percent = static_cast<std::int64_t>(75 + mix64(seed_ + ++trials_) % 50);
    next_trial_ = now + trial_interval_ * percent / 100;
}

} // namespace trefoil
