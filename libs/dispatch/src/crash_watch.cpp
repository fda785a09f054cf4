#include "dispatch/crash_watch.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace trefoil {

namespace {

/// Crashes kept for one content; more do not change what is decided.
constexpr std::size_t largest_history = 8;

/// Contents in one message to another node, some kilobytes.
constexpr std::size_t most_told = 256;

} // namespace

std::size_t crash_watch::history::counted() const
{
    return static_cast<std::size_t>(std::ranges::count(crashes, false, &sighting::released));
}

mono_time crash_watch::history::time_of(std::size_t count) const
{
    std::vector<mono_time> times;
    for (const auto& s : crashes) {
        if (!s.released) {
            times.push_back(s.at);
        }
    }
    std::ranges::sort(times);
    return times.at(count - 1);
}

mono_time crash_watch::history::last() const
{
    return std::ranges::max_element(crashes, {}, &sighting::at)->at;
}

bool crash_watch::history::add(const sighting& s)
{
    const auto known = std::ranges::find(crashes, s.crash, &sighting::crash);
    if (known != crashes.end()) {
        // Each message is late by its way, so the earliest time is the nearest to the crash.
        known->at = std::min(known->at, s.at);
        return s.released && !std::exchange(known->released, true);
    }
    if (crashes.size() == largest_history) {
        const auto oldest = std::ranges::min_element(crashes, {}, &sighting::at);
        if (s.at <= oldest->at) {
            return false;
        }
        crashes.erase(oldest);
    }
    crashes.push_back(s);
    return true;
}

bool crash_watch::history::release()
{
    bool changed = false;
    for (auto& s : crashes) {
        changed = !std::exchange(s.released, true) || changed;
    }
    return changed;
}

void crash_watch::served(content_fingerprint content, mono_time now)
{
    const auto [it, is_new] = served_.try_emplace(content);
    if (!is_new) {
        served_order_.erase(it->second);
    }
    it->second = served_order_.insert(served_order_.end(), {now, content});
    while (served_.size() > options_.served_capacity ||
           now - served_order_.front().first > options_.memory) {
        served_.erase(served_order_.front().second);
        served_order_.pop_front();
    }
    release(content);
}

bool crash_watch::was_served(content_fingerprint content, mono_time now) const
{
    const auto it = served_.find(content);
    return it != served_.end() && now - it->second->first <= options_.memory;
}

void crash_watch::note_changed(content_fingerprint content, const history& h)
{
    if (h.counted() >= options_.crashes) {
        suspects_.insert(content);
    }
    else {
        suspects_.erase(content);
    }
}

void crash_watch::make_room(mono_time now)
{
    if (histories_.size() < options_.capacity) {
        return;
    }
    std::erase_if(histories_, [&](const auto& entry) {
        const bool is_old = now - entry.second.last() > options_.retention;
        if (is_old) {
            suspects_.erase(entry.first);
        }
        return is_old;
    });
    if (histories_.size() < options_.capacity) {
        return;
    }
    std::vector<std::tuple<std::size_t, mono_time, content_fingerprint>> order;
    for (const auto& [content, h] : histories_) {
        order.emplace_back(h.crashes.size(), h.last(), content);
    }
    // Half at a time, since many contents come with the crashes of a service.
    const auto kept_from = order.begin() + static_cast<std::ptrdiff_t>(order.size() / 2);
    std::ranges::nth_element(order, kept_from);
    for (auto it = order.begin(); it != kept_from; ++it) {
        const auto content = std::get<content_fingerprint>(*it);
        histories_.erase(content);
        suspects_.erase(content);
    }
}

bool crash_watch::add(content_fingerprint content, const sighting& s, mono_time now)
{
    auto it = histories_.find(content);
    if (it != histories_.end() && now - it->second.last() > options_.retention) {
        suspects_.erase(content);
        histories_.erase(it);
        it = histories_.end();
    }
    if (it == histories_.end()) {
        make_room(now);
        it = histories_.try_emplace(content).first;
    }
    const bool changed = it->second.add(s);
    note_changed(content, it->second);
    return changed;
}

bool crash_watch::crashed(content_fingerprint content, std::uint64_t crash, mono_time now)
{
    const bool released = was_served(content, now);
    return add(content, {crash, now, released}, now) && suspects_.contains(content);
}

bool crash_watch::release(content_fingerprint content)
{
    const auto it = histories_.find(content);
    if (it == histories_.end() || !it->second.release()) {
        return false;
    }
    note_changed(content, it->second);
    return true;
}

void crash_watch::merge(const content_crash& told, mono_time now)
{
    // An age below zero would lengthen the time for which the content is held back.
    const auto age = std::max(told.age, std::chrono::milliseconds(0));
    if (age <= options_.retention) {
        const bool released = told.released || was_served(told.content, now);
        add(told.content, {told.crash, now - age, released}, now);
    }
}

std::vector<const crash_watch::history_map::value_type*> crash_watch::told(mono_time now) const
{
    std::vector<const history_map::value_type*> order;
    for (const auto& entry : histories_) {
        if (now - entry.second.last() <= options_.retention) {
            order.push_back(&entry);
        }
    }
    const auto kept = std::min(most_told, order.size());
    std::ranges::partial_sort(
        order, order.begin() + static_cast<std::ptrdiff_t>(kept), [](const auto* a, const auto* b) {
            return std::tuple(a->second.crashes.size(), a->second.last(), a->first) >
                   std::tuple(b->second.crashes.size(), b->second.last(), b->first);
        });
    order.resize(kept);
    return order;
}

std::vector<content_crash> crash_watch::crashes(mono_time now) const
{
    std::vector<content_crash> result;
    for (const auto* entry : told(now)) {
        for (const auto& s : entry->second.crashes) {
            // Rounded down: a crash that seemed older at each node would be forgotten early.
            const auto age = std::chrono::floor<std::chrono::milliseconds>(now - s.at);
            result.push_back({entry->first, s.crash, age, s.released});
        }
    }
    return result;
}

std::uint64_t crash_watch::digest(mono_time now) const
{
    std::uint64_t digest = 0;
    for (const auto* entry : told(now)) {
        for (const auto& s : entry->second.crashes) {
            digest ^= mix64(mix64(entry->first.value ^ mix64(s.crash)) + (s.released ? 1U : 0U));
        }
    }
    return digest;
}

std::size_t crash_watch::crashes_of(content_fingerprint content) const
{
    const auto it = histories_.find(content);
    return it == histories_.end() ? 0 : it->second.counted();
}

std::chrono::seconds crash_watch::hold_time(std::size_t crashes) const
{
    const auto doublings = crashes - options_.crashes; // At most largest_history.
    return std::min(options_.memory * (1U << doublings), options_.retention);
}

std::optional<std::chrono::milliseconds> crash_watch::held_back(content_fingerprint content,
                                                                mono_time now) const
{
    if (!suspects_.contains(content)) {
        return std::nullopt;
    }
    const auto& h = histories_.at(content);
    const auto until = h.time_of(h.counted()) + hold_time(h.counted());
    if (now < h.time_of(options_.crashes) + options_.answer_time || now >= until) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(until - now);
}

} // namespace trefoil
