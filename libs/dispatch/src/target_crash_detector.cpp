#include "dispatch/target_crash_detector.h"

#include <algorithm>

namespace trefoil {

namespace {

/// Maximum number of requests without a response that are kept; more than any known target runs
/// concurrently.
constexpr std::size_t max_unanswered = 512;

/// Maximum number of ids of earlier targets that are kept. Their entries disappear within seconds.
constexpr std::size_t max_earlier_ids = 8;

} // namespace

void target_crash_detector::record_started(std::uint64_t ticket,
                                           const content_fingerprints& content, mono_time now)
{
    if (running_.empty()) {
        silent_since_ = now;
        is_probe_requested_ = false;
    }
    running_.insert_or_assign(ticket, run{content, now});
}

void target_crash_detector::record_answered(std::uint64_t ticket, mono_time now)
{
    running_.erase(ticket);
    silent_since_ = now;
    is_probe_requested_ = false;
}

void target_crash_detector::record_unanswered(std::uint64_t ticket, mono_time now)
{
    const auto it = running_.find(ticket);
    if (it == running_.end()) {
        return;
    }
    unanswered_.emplace_back(now, it->second.content);
    running_.erase(it);
    if (unanswered_.size() > max_unanswered) {
        unanswered_.pop_front();
    }
}

bool target_crash_detector::should_probe(mono_time now)
{
    // Requests that ended without a response before the last response do not justify a probe.
    const bool is_waiting =
        !running_.empty() || (!unanswered_.empty() && unanswered_.back().first > silent_since_);
    if (!is_waiting || is_probe_requested_ || now - silent_since_ <= options_.silence_timeout) {
        return false;
    }
    is_probe_requested_ = true;
    return true;
}

target_crash_detector::request_fingerprints
target_crash_detector::take_unanswered(std::chrono::milliseconds running_for, mono_time now)
{
    request_fingerprints result;
    for (auto it = unanswered_.rbegin(); it != unanswered_.rend(); ++it) {
        if (now - it->first <= options_.unanswered_retention) {
            result.push_back(it->second);
        }
    }
    unanswered_.clear();
    std::erase_if(running_, [&](const auto& entry) {
        const bool is_taken = now - entry.second.since >= running_for;
        if (is_taken) {
            result.push_back(entry.second.content);
        }
        return is_taken;
    });
    return result;
}

target_crash_detector::request_fingerprints target_crash_detector::record_terminated(mono_time now)
{
    return take_unanswered(std::chrono::milliseconds(0), now);
}

bool target_crash_detector::is_known_instance(const target_id& id) const
{
    if (current_->id == id.id) {
        return id.start <= current_->start;
    }
    return std::ranges::find(earlier_ids_, id.id) != earlier_ids_.end();
}

target_crash_detector::request_fingerprints
target_crash_detector::record_present(const target_id& id, bool leaving, mono_time now)
{
    if (!current_ || (current_->id == id.id && current_->start == 0)) {
        current_ = id;
        is_leaving_ = leaving;
        return {};
    }
    if (is_known_instance(id)) {
        is_leaving_ = is_leaving_ || (leaving && id == *current_);
        return {};
    }
    if (current_->id != id.id) {
        earlier_ids_.push_back(current_->id);
        if (earlier_ids_.size() > max_earlier_ids) {
            earlier_ids_.pop_front();
        }
    }
    current_ = id;
    const bool has_left = std::exchange(is_leaving_, leaving);
    auto ended = take_unanswered(options_.min_restart_time, now);
    return has_left ? request_fingerprints() : ended;
}

} // namespace trefoil
