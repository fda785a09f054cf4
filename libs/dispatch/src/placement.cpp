#include "dispatch/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

using candidates = std::vector<std::shared_ptr<target_state>>;

std::chrono::milliseconds mean_hold(std::span<const std::shared_ptr<target_state>> targets,
                                    std::chrono::milliseconds fallback)
{
    std::chrono::milliseconds sum{0};
    int known = 0;
    for (const auto& t : targets) {
        if (t->load.hold.count() > 0) {
            sum += t->load.hold;
            ++known;
        }
    }
    return known == 0 ? fallback : sum / known;
}

} // namespace

std::chrono::duration<double> placement::expected_time(const target_state& t,
                                                       std::chrono::milliseconds default_hold,
                                                       mono_time now) const
{
    const bool is_known =
        t.load_known_at != mono_time() && now - t.load_known_at < options_.load_lifetime;
    const double limit = is_known ? std::max(1U, t.load.limit) : std::max(1U, t.entry.slots);
    const double reported = is_known ? t.load.running + t.load.waiting : limit / 2.0;
    const double load = std::max<double>(reported + t.sent_since_report, t.in_flight) + 1.0;
    const double hold =
        std::chrono::duration<double>(t.load.hold.count() > 0 ? t.load.hold : default_hold).count();
    const double wait = std::max(0.0, load - limit) / limit;
    double time = hold * (1.0 + wait + options_.load_weight * load / limit);
    time *= 1.0 + options_.failure_weight * t.failure_share;
    if (t.entry.warming && t.load.hold.count() == 0) {
        time *= options_.warming_factor;
    }
    if (t.entry.address == own_.address) {
        time *= options_.own_vm_factor;
    }
    return std::chrono::duration<double>(time);
}

bool placement::is_usable(const target_state& t, std::span<const std::string> tried) const
{
    return !t.entry.leaving && std::find(tried.begin(), tried.end(), t.entry.id.id) == tried.end();
}

std::shared_ptr<target_state>
placement::better_of_two(std::span<const std::shared_ptr<target_state>> targets,
                         std::uint64_t random, std::chrono::milliseconds default_hold,
                         mono_time now) const
{
    if (targets.empty()) {
        return nullptr;
    }
    const auto first = mix64(random) % targets.size();
    if (targets.size() == 1) {
        return targets[first];
    }
    const auto step = 1 + mix64(random + 1) % (targets.size() - 1);
    const auto second = (first + step) % targets.size();
    const auto& a = targets[first];
    const auto& b = targets[second];
    return expected_time(*b, default_hold, now) < expected_time(*a, default_hold, now) ? b : a;
}

std::shared_ptr<target_state>
placement::choose(std::span<const std::shared_ptr<target_state>> targets,
                  std::span<const std::string> tried, std::uint64_t random, mono_time now) const
{
    candidates own_zone;
    candidates other_zones;
    candidates suspended;
    for (const auto& t : targets) {
        if (!is_usable(*t, tried)) {
            continue;
        }
        if (t->suspended_until > now) {
            suspended.push_back(t);
        }
        else {
            (t->entry.zone == own_.zone ? own_zone : other_zones).push_back(t);
        }
    }
    const auto default_hold = mean_hold(targets, options_.initial_hold);
    const auto best_in_zone = better_of_two(own_zone, random, default_hold, now);
    const auto best_elsewhere = better_of_two(other_zones, random, default_hold, now);
    if (best_in_zone && best_elsewhere) {
        const auto in_zone_time = expected_time(*best_in_zone, default_hold, now);
        const auto elsewhere_time = expected_time(*best_elsewhere, default_hold, now);
        return elsewhere_time < in_zone_time * options_.other_zone_factor ? best_elsewhere
                                                                          : best_in_zone;
    }
    if (best_in_zone || best_elsewhere) {
        return best_in_zone ? best_in_zone : best_elsewhere;
    }
    // No other target is left: try one that was unreachable recently.
    return better_of_two(suspended, random, default_hold, now);
}

void placement::record_sent(target_state& t) const
{
    ++t.in_flight;
    ++t.sent_since_report;
}

void placement::record_ended(target_state& t, bool failed) const
{
    if (t.in_flight > 0) {
        --t.in_flight;
    }
    t.failure_share += options_.failure_smoothing * ((failed ? 1.0 : 0.0) - t.failure_share);
}

void placement::record_load(target_state& t, const target_load& load, mono_time now) const
{
    t.load = load;
    t.load_known_at = now;
    t.sent_since_report = 0;
}

void placement::record_unreachable(target_state& t, mono_time now) const
{
    if (t.suspended_until > now) {
        return;
    }
    const auto factor = 1U << std::min(t.suspensions, 8U);
    ++t.suspensions;
    t.suspended_until = now + std::min(options_.first_suspension * factor, options_.max_suspension);
}

void placement::record_reached(target_state& t) const
{
    t.suspensions = 0;
    t.suspended_until = mono_time();
}

} // namespace trefoil
