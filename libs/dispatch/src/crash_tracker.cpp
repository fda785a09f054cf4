#include "dispatch/crash_tracker.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace trefoil {

namespace {

/// Maximum number of crashes kept for one content; more do not change the decision.
constexpr std::size_t max_crashes_per_content = 8;

/// Maximum number of contents in one report to another node, which is then a few kilobytes long.
constexpr std::size_t max_reported_contents = 256;

} // namespace

std::size_t crash_tracker::history::counted() const
{
    return static_cast<std::size_t>(std::ranges::count(crashes, false, &observation::released));
}

mono_time crash_tracker::history::time_of(std::size_t count) const
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

mono_time crash_tracker::history::last() const
{
    return std::ranges::max_element(crashes, {}, &observation::at)->at;
}

bool crash_tracker::history::add(const observation& s)
{
    const auto known = std::ranges::find(crashes, s.crash, &observation::crash);
    if (known != crashes.end()) {
        // Transit time only adds to the reported time, so the earliest is closest to the crash.
        known->at = std::min(known->at, s.at);
        return s.released && !std::exchange(known->released, true);
    }
    if (crashes.size() == max_crashes_per_content) {
        const auto oldest = std::ranges::min_element(crashes, {}, &observation::at);
        if (s.at <= oldest->at) {
            return false;
        }
        crashes.erase(oldest);
    }
    crashes.push_back(s);
    return true;
}

bool crash_tracker::history::release()
{
    bool changed = false;
    for (auto& s : crashes) {
        changed = !std::exchange(s.released, true) || changed;
    }
    return changed;
}

void crash_tracker::served(content_fingerprint content, mono_time now)
{
    const auto [it, is_new] = served_.try_emplace(content);
    if (!is_new) {
        served_order_.erase(it->second);
    }
    it->second = served_order_.insert(served_order_.end(), {now, content});
    while (served_.size() > options_.served_capacity ||
           now - served_order_.front().first > options_.initial_quarantine) {
        served_.erase(served_order_.front().second);
        served_order_.pop_front();
    }
    release(content);
}

bool crash_tracker::was_served(content_fingerprint content, mono_time now) const
{
    const auto it = served_.find(content);
    return it != served_.end() && now - it->second->first <= options_.initial_quarantine;
}

void crash_tracker::update_suspect(content_fingerprint content, const history& h)
{
    if (h.counted() >= options_.crashes) {
        suspects_.insert(content);
    }
    else {
        suspects_.erase(content);
    }
}

void crash_tracker::make_room(mono_time now)
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
    // Drop half at a time, because the crashes of a service add many contents at once.
    const auto kept_from = order.begin() + static_cast<std::ptrdiff_t>(order.size() / 2);
    std::ranges::nth_element(order, kept_from);
    for (auto it = order.begin(); it != kept_from; ++it) {
        const auto content = std::get<content_fingerprint>(*it);
        histories_.erase(content);
        suspects_.erase(content);
    }
}

bool crash_tracker::add(content_fingerprint content, const observation& s, mono_time now)
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
    update_suspect(content, it->second);
    return changed;
}

bool crash_tracker::crashed(content_fingerprint content, std::uint64_t crash, mono_time now)
{
    const bool released = was_served(content, now);
    return add(content, {crash, now, released}, now) && suspects_.contains(content);
}

bool crash_tracker::release(content_fingerprint content)
{
    const auto it = histories_.find(content);
    if (it == histories_.end() || !it->second.release()) {
        return false;
    }
    update_suspect(content, it->second);
    return true;
}

void crash_tracker::merge(const content_crash& reported, mono_time now)
{
    // A negative age would extend the quarantine.
    const auto age = std::max(reported.age, std::chrono::milliseconds(0));
    if (age <= options_.retention) {
        const bool released = reported.released || was_served(reported.content, now);
        add(reported.content, {reported.crash, now - age, released}, now);
    }
}

std::vector<const crash_tracker::history_map::value_type*>
crash_tracker::entries_to_report(mono_time now) const
{
    std::vector<const history_map::value_type*> order;
    for (const auto& entry : histories_) {
        if (now - entry.second.last() <= options_.retention) {
            order.push_back(&entry);
        }
    }
    const auto kept = std::min(max_reported_contents, order.size());
    std::ranges::partial_sort(
        order, order.begin() + static_cast<std::ptrdiff_t>(kept), [](const auto* a, const auto* b) {
            return std::tuple(a->second.crashes.size(), a->second.last(), a->first) >
                   std::tuple(b->second.crashes.size(), b->second.last(), b->first);
        });
    order.resize(kept);
    return order;
}

std::vector<content_crash> crash_tracker::crashes(mono_time now) const
{
    std::vector<content_crash> result;
    for (const auto* entry : entries_to_report(now)) {
        for (const auto& s : entry->second.crashes) {
            // Rounded down: otherwise the age would grow with each node that forwards the crash,
            // and the record would be dropped too early.
            const auto age = std::chrono::floor<std::chrono::milliseconds>(now - s.at);
            result.push_back({entry->first, s.crash, age, s.released});
        }
    }
    return result;
}

std::uint64_t crash_tracker::digest(mono_time now) const
{
    std::uint64_t digest = 0;
    for (const auto* entry : entries_to_report(now)) {
        for (const auto& s : entry->second.crashes) {
            digest ^= mix64(mix64(entry->first.value ^ mix64(s.crash)) + (s.released ? 1U : 0U));
        }
    }
    return digest;
}

std::size_t crash_tracker::crash_count(content_fingerprint content) const
{
    const auto it = histories_.find(content);
    return it == histories_.end() ? 0 : it->second.counted();
}

std::chrono::seconds crash_tracker::quarantine_time(std::size_t crashes) const
{
    const auto doublings = crashes - options_.crashes; // Less than max_crashes_per_content.
    return std::min(options_.initial_quarantine * (1U << doublings), options_.retention);
}

std::optional<std::chrono::milliseconds> crash_tracker::quarantine_left(content_fingerprint content,
                                                                        mono_time now) const
{
    if (!suspects_.contains(content)) {
        return std::nullopt;
    }
    const auto& h = histories_.at(content);
    const auto until = h.time_of(h.counted()) + quarantine_time(h.counted());
    if (now < h.time_of(options_.crashes) + options_.quarantine_delay || now >= until) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(until - now);
}

} // namespace trefoil
