#include "dispatch/crash_watch.h"

#include <algorithm>
#include <utility>

namespace trefoil {

void crash_watch::served(content_fingerprint content, mono_time now)
{
    const auto [it, is_new] = served_.try_emplace(content);
    if (!is_new) {
        served_order_.erase(it->second);
    }
    it->second = served_order_.insert(served_order_.end(), {now, content});
    while (served_.size() > options_.capacity ||
           now - served_order_.front().first > options_.memory) {
        served_.erase(served_order_.front().second);
        served_order_.pop_front();
    }
}

bool crash_watch::was_served(content_fingerprint content, mono_time now) const
{
    const auto it = served_.find(content);
    return it != served_.end() && now - it->second->first <= options_.memory;
}

void crash_watch::drop_oldest()
{
    if (suspects_.size() < options_.capacity) {
        return;
    }
    suspects_.erase(
        std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
            return a.second.first < b.second.first;
        }));
}

bool crash_watch::crashed(content_fingerprint content, std::uint64_t crash, mono_time now)
{
    auto it = suspects_.find(content);
    if (it != suspects_.end() && now - it->second.first > options_.memory) {
        suspects_.erase(it);
        it = suspects_.end();
    }
    if (it == suspects_.end()) {
        drop_oldest();
        it = suspects_.emplace(content, suspect{{}, now, std::nullopt}).first;
    }
    auto& s = it->second;
    s.crashes.insert(crash);
    if (s.crashes.size() < options_.crashes || s.asked_until) {
        return false;
    }
    s.asked_until = now + options_.answer_time;
    return true;
}

std::size_t crash_watch::crashes_of(content_fingerprint content) const
{
    const auto it = suspects_.find(content);
    return it == suspects_.end() ? 0 : it->second.crashes.size();
}

void crash_watch::cleared(content_fingerprint content)
{
    suspects_.erase(content);
}

std::vector<content_fingerprint> crash_watch::due(mono_time now)
{
    std::vector<content_fingerprint> contents;
    for (auto& [content, s] : suspects_) {
        if (s.asked_until && now >= *s.asked_until) {
            s.asked_until.reset(); // A further crash, at a node that was not told, asks again.
            contents.push_back(content);
        }
    }
    return contents;
}

std::optional<mono_time> crash_watch::next_due() const
{
    std::optional<mono_time> next;
    for (const auto& [content, s] : suspects_) {
        if (s.asked_until && (!next || *s.asked_until < *next)) {
            next = s.asked_until;
        }
    }
    return next;
}

void crash_watch::hold_back(content_fingerprint content, std::chrono::milliseconds left,
                            mono_time now)
{
    std::erase_if(held_until_, [now](const auto& entry) { return entry.second <= now; });
    if (held_until_.size() < options_.capacity) {
        held_until_[content] = now + std::min<std::chrono::milliseconds>(left, options_.memory);
    }
}

std::optional<std::chrono::milliseconds> crash_watch::held_back(content_fingerprint content,
                                                                mono_time now) const
{
    const auto it = held_until_.find(content);
    if (it == held_until_.end() || it->second <= now) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(it->second - now);
}

} // namespace trefoil
