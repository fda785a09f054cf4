#include "spread/watcher_choice.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace trefoil {

namespace {

using std::chrono::nanoseconds;

nanoseconds scaled(nanoseconds time, double factor)
{
    return nanoseconds(std::llround(static_cast<double>(time.count()) * factor));
}

nanoseconds draw_within(nanoseconds window, random_source& random)
{
    return scaled(window, std::uniform_real_distribution<double>(0.0, 1.0)(random));
}

nanoseconds with_jitter(nanoseconds mean, random_source& random)
{
    return scaled(mean, std::uniform_real_distribution<double>(0.5, 1.5)(random));
}

} // namespace

std::vector<vm_name> chosen_watchers(const gossip_members& members,
                                     const availability_zone_name& zone, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, vm_name>> ranked;
    for (const auto& member : members) {
        if (member.availability_zone == zone) {
            ranked.emplace_back(hash64(member.name.str()), member.name);
        }
    }
    std::ranges::sort(ranked);
    std::vector<vm_name> chosen;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
        chosen.push_back(std::move(ranked[i].second));
    }
    return chosen;
}

std::vector<vm_name> chosen_watchers(const gossip_members& members, const watcher_options& options)
{
    std::map<availability_zone_name, std::vector<vm_name>> by_zone;
    const auto per_zone =
        options.total_watchers > 0 ? options.total_watchers : options.watchers_per_zone;
    for (const auto& member : members) {
        auto& names = by_zone[member.availability_zone];
        if (names.empty()) {
            names = chosen_watchers(members, member.availability_zone, per_zone);
        }
    }
    // Sorted by rank within the zone first, so that every zone has one watcher before any has two.
    std::vector<std::tuple<std::size_t, std::uint64_t, vm_name>> ranked;
    for (const auto& [zone, names] : by_zone) {
        for (std::size_t zone_rank = 0; zone_rank < names.size(); ++zone_rank) {
            ranked.emplace_back(zone_rank, hash64(names[zone_rank].str()), names[zone_rank]);
        }
    }
    std::ranges::sort(ranked);
    if (options.total_watchers > 0 && ranked.size() > options.total_watchers) {
        ranked.resize(options.total_watchers);
    }
    std::vector<vm_name> chosen;
    chosen.reserve(ranked.size());
    for (auto& [zone_rank, hash, name] : ranked) {
        chosen.push_back(std::move(name));
    }
    return chosen;
}

watcher_choice::watcher_choice(gossip_member self, mono_time started, watcher_options options)
    : self_(std::move(self)), options_(options), started_(started), not_before_(started)
{
}

void watcher_choice::set_members(const gossip_members& members)
{
    if (member_count_ == 0) {
        first_call_.reset();
        follow_up_ = follow_up_ && !options_.answers_everything;
    }
    member_count_ = std::max<std::size_t>(members.size(), 1);
    const auto chosen = chosen_watchers(members, options_);
    chosen_ = std::ranges::find(chosen, self_.name) != chosen.end();
}

void watcher_choice::call_answered(mono_time now)
{
    last_contact_ = now;
    was_answered_ = true;
    // The other nodes stop calling when this contact is reported to them. A call for one value does
    // not return changes of the other, so this node reads both before it stops.
    follow_up_ = !chosen_ && !last_round_both_;
    first_call_.reset();
    failures_ = 0;
    not_before_ = now + options_.pause;
}

void watcher_choice::call_failed(mono_time now, random_source& random)
{
    auto mean = std::max(options_.max_retry_delay, takeover_window());
    const bool has_list = member_count_ != 0;
    if (chosen_ || !has_list) {
        mean = chosen_ ? options_.initial_retry_delay : options_.initial_retry_delay_without_list;
        for (std::size_t i = 0; i < failures_ && mean < options_.max_retry_delay; ++i) {
            mean *= 2;
        }
        mean = std::min(mean, options_.max_retry_delay);
    }
    ++failures_;
    not_before_ = now + with_jitter(mean, random);
}

void watcher_choice::contact_reported(nanoseconds age, mono_time now)
{
    // Ages above a day are not useful and could overflow the subtraction.
    if (age < nanoseconds::zero() || age > std::chrono::hours(24)) {
        return;
    }
    const auto contact = now - age;
    if (!last_contact_ || contact > *last_contact_) {
        last_contact_ = contact;
    }
}

std::optional<watch_round> watcher_choice::next_round(mono_time now, random_source& random)
{
    const auto round = plan_round(now, random);
    if (round) {
        last_round_both_ = round->both;
    }
    return round;
}

std::optional<watch_round> watcher_choice::plan_round(mono_time now, random_source& random)
{
    if (chosen_) {
        return watch_round{not_before_, failures_ == 0};
    }
    const bool has_list = member_count_ != 0;
    if (has_list && follow_up_) {
        return watch_round{not_before_, true};
    }
    if (has_list && !is_contact_expired(now)) {
        first_call_.reset();
        return std::nullopt;
    }
    if (!first_call_) {
        const bool is_list_empty = was_answered_ && options_.empty_list_window.count() > 0;
        if (has_list) {
            first_call_ = now + draw_within(takeover_window(), random);
        }
        else if (is_list_empty) {
            first_call_ = now + draw_within(options_.empty_list_window, random);
        }
        else {
            first_call_ = started_ + draw_within(options_.start_window, random);
        }
    }
    return watch_round{std::max(*first_call_, not_before_), false};
}

std::optional<nanoseconds> watcher_choice::contact_age(mono_time now) const noexcept
{
    if (!last_contact_) {
        return std::nullopt;
    }
    return std::max(nanoseconds(now - *last_contact_), nanoseconds::zero());
}

bool watcher_choice::is_contact_expired(mono_time now) const noexcept
{
    return now - last_contact_.value_or(started_) >= options_.contact_timeout;
}

void watcher_choice::set_isolated(bool isolated)
{
    if (isolated && !isolated_) {
        first_call_.reset(); // May be later than the end of the shorter window.
    }
    isolated_ = isolated;
}

nanoseconds watcher_choice::takeover_window() const noexcept
{
    if (isolated_) {
        return options_.isolated_takeover_window;
    }
    const double seconds = static_cast<double>(member_count_) / options_.takeover_calls_per_second;
    return std::min(scaled(std::chrono::seconds(1), seconds), options_.max_takeover_window);
}

} // namespace trefoil
