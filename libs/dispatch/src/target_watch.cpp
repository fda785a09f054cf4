#include "dispatch/target_watch.h"

#include <algorithm>

namespace trefoil {

namespace {

/// Requests without an answer that are kept; more than any target known runs.
constexpr std::size_t most_unanswered = 512;

/// Ids of earlier targets that are kept. Their entries go within seconds.
constexpr std::size_t most_earlier = 8;

} // namespace

void target_watch::started(std::uint64_t ticket, const content_scopes& content, mono_time now)
{
    if (running_.empty()) {
        quiet_since_ = now;
        is_looked_at_ = false;
    }
    running_.insert_or_assign(ticket, run{content, now});
}

void target_watch::answered(std::uint64_t ticket, mono_time now)
{
    running_.erase(ticket);
    quiet_since_ = now;
    is_looked_at_ = false;
}

void target_watch::unanswered(std::uint64_t ticket, mono_time now)
{
    const auto it = running_.find(ticket);
    if (it == running_.end()) {
        return;
    }
    unanswered_.emplace_back(now, it->second.content);
    running_.erase(it);
    if (unanswered_.size() > most_unanswered) {
        unanswered_.pop_front();
    }
}

bool target_watch::is_silent(mono_time now)
{
    // What ended without an answer before the target's last sign of life asks for no look.
    const bool is_waiting =
        !running_.empty() || (!unanswered_.empty() && unanswered_.back().first > quiet_since_);
    if (!is_waiting || is_looked_at_ || now - quiet_since_ <= options_.silence) {
        return false;
    }
    is_looked_at_ = true;
    return true;
}

target_watch::contents target_watch::take(std::chrono::milliseconds running_for, mono_time now)
{
    contents result;
    for (auto it = unanswered_.rbegin(); it != unanswered_.rend(); ++it) {
        if (now - it->first <= options_.memory) {
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

target_watch::contents target_watch::gone(mono_time now)
{
    return take(std::chrono::milliseconds(0), now);
}

bool target_watch::is_earlier(const target_id& id) const
{
    if (current_->id == id.id) {
        return id.start <= current_->start;
    }
    return std::ranges::find(earlier_, id.id) != earlier_.end();
}

target_watch::contents target_watch::seen(const target_id& id, bool leaving, mono_time now)
{
    if (!current_ || (current_->id == id.id && current_->start == 0)) {
        current_ = id;
        is_leaving_ = leaving;
        return {};
    }
    if (is_earlier(id)) {
        is_leaving_ = is_leaving_ || (leaving && id == *current_);
        return {};
    }
    if (current_->id != id.id) {
        earlier_.push_back(current_->id);
        if (earlier_.size() > most_earlier) {
            earlier_.pop_front();
        }
    }
    current_ = id;
    const bool has_left = std::exchange(is_leaving_, leaving);
    auto ended = take(options_.least_start, now);
    return has_left ? contents() : ended;
}

} // namespace trefoil
