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

double placement::load_per_slot(const target_state& t, mono_time now) const
{
    const bool is_known =
        t.load_known_at != mono_time() && now - t.load_known_at < options_.load_lifetime;
    const double limit = is_known ? std::max(1U, t.load.limit) : std::max(1U, t.entry.slots);
    const double reported = is_known ? t.load.running + t.load.waiting : limit / 2.0;
    return (std::max<double>(reported + t.sent_since_report, t.in_flight) + 1.0) / limit;
}

double placement::failure_share(const target_state& t, mono_time now) const
{
    const std::chrono::duration<double> age = now - t.failures_known_at;
    return t.failure_share * std::exp(-age / options_.failure_lifetime);
}

double placement::risk_factor(const target_state& t, mono_time now,
                              const placed_request& request) const
{
    double factor = 1.0 + options_.failure_weight * failure_share(t, now);
    factor *= 1.0 + options_.late_weight * late_chance(t, request, now);
    if (t.entry.warming && t.load.hold.count() == 0) {
        factor *= options_.warming_factor;
    }
    if (t.entry.address == own_.address) {
        factor *= options_.own_vm_factor;
    }
    return factor;
}

std::chrono::duration<double> placement::expected_time(const target_state& t,
                                                       std::chrono::milliseconds default_hold,
                                                       mono_time now,
                                                       const placed_request& request) const
{
    const auto load = load_per_slot(t, now);
    const std::chrono::duration<double> hold = t.load.hold.count() > 0 ? t.load.hold : default_hold;
    const double wait = std::max(0.0, load - 1.0);
    return hold * (1.0 + wait + options_.load_weight * load) * risk_factor(t, now, request);
}

double placement::congestion(const target_state& t, mono_time now,
                             const placed_request& request) const
{
    const auto relative_load = load_per_slot(t, now) / options_.congested_load;
    return (1.0 + std::pow(relative_load, options_.congestion_exponent)) *
           risk_factor(t, now, request);
}

double placement::late_chance(const target_state& t, const placed_request& request,
                              mono_time now) const
{
    const auto known = t.run_times.find(request.route);
    if (known == t.run_times.end() || request.objective_left.count() <= 0) {
        return 0.0;
    }
    const std::chrono::duration<double> age = now - known->second.known_at;
    const auto weight = std::exp(-age / options_.run_time_lifetime);
    return weight * known->second.time.chance_to_exceed(request.objective_left);
}

bool placement::is_usable(const target_state& t, std::span<const std::string> tried) const
{
    return !t.entry.leaving && std::find(tried.begin(), tried.end(), t.entry.id.id) == tried.end();
}

std::shared_ptr<target_state>
placement::better_of_two(std::span<const std::shared_ptr<target_state>> targets,
                         std::uint64_t random, std::chrono::milliseconds default_hold,
                         mono_time now, const placed_request& request) const
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
    return expected_time(*b, default_hold, now, request) <
                   expected_time(*a, default_hold, now, request)
               ? b
               : a;
}

std::shared_ptr<target_state>
placement::choose(std::span<const std::shared_ptr<target_state>> targets,
                  std::span<const std::string> tried, std::uint64_t random, mono_time now,
                  const placed_request& request) const
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
    const auto best_in_zone = better_of_two(own_zone, random, default_hold, now, request);
    const auto best_elsewhere = better_of_two(other_zones, random, default_hold, now, request);
    if (best_in_zone && best_elsewhere) {
        const auto in_zone = congestion(*best_in_zone, now, request);
        const auto elsewhere = congestion(*best_elsewhere, now, request);
        return elsewhere < in_zone * options_.other_zone_factor ? best_elsewhere : best_in_zone;
    }
    if (best_in_zone || best_elsewhere) {
        return best_in_zone ? best_in_zone : best_elsewhere;
    }
    // No other target is left: try one that was unreachable recently.
    return better_of_two(suspended, random, default_hold, now, request);
}

void placement::record_sent(target_state& t) const
{
    ++t.in_flight;
    ++t.sent_since_report;
}

void placement::record_ended(target_state& t, bool failed, mono_time now) const
{
    if (t.in_flight > 0) {
        --t.in_flight;
    }
    const auto before = failure_share(t, now);
    t.failure_share = before + options_.failure_smoothing * ((failed ? 1.0 : 0.0) - before);
    t.failures_known_at = now;
}

void placement::record_load(target_state& t, const target_load& load, mono_time now) const
{
    t.load = load;
    t.load_known_at = now;
    t.sent_since_report = 0;
}

void placement::record_run_time(target_state& t, std::uint32_t route, const run_time& time,
                                mono_time now) const
{
    t.run_times[route] = {time, now};
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
