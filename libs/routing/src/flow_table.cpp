#include "routing/flow_table.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

std::size_t hash_of(const kind_name& kind, const group_name& group) noexcept
{
    return std::hash<kind_name>{}(kind)*31 + std::hash<group_name>{}(group);
}

} // namespace

std::size_t flow_table::flow_hash::operator()(const flow& f) const noexcept
{
    return hash_of(f.kind, f.group);
}

std::size_t flow_table::flow_hash::operator()(const flow_view& f) const noexcept
{
    return hash_of(f.kind, f.group);
}

bool flow_table::is_expired(const service_fraction& entry, mono_time now) const noexcept
{
    return now - entry.updated >= options_.lifetime;
}

double flow_table::fraction_at(const service_fraction& entry, mono_time now) const noexcept
{
    const std::chrono::duration<double> since = now - entry.updated - options_.raise_after;
    const double rise_seconds = std::max(0.0, since.count());
    const double grown = entry.fraction * std::exp(options_.growth_per_second * rise_seconds);
    return std::min(1.0, grown + rise_seconds * options_.raise_per_second);
}

void flow_table::record(const service_name& service, const kind_name& kind, const group_name& group,
                        double fraction, mono_time now)
{
    if (std::isnan(fraction)) {
        return;
    }
    const double clamped = std::clamp(fraction, fraction_floor, 1.0);
    auto it = flows_.find(flow_view{kind, group});
    if (it != flows_.end()) {
        const auto entry = std::ranges::find(it->second, service, &service_fraction::service);
        if (entry != it->second.end()) {
            // An old value says little about the current one, so it is replaced without smoothing.
            const bool is_recent = now - entry->updated < options_.raise_after;
            const double weight = is_recent ? options_.smoothing : 1.0;
            entry->fraction += weight * (clamped - entry->fraction);
            entry->updated = now;
            return;
        }
    }
    if (size_ >= options_.capacity) {
        expire(now);
        if (size_ >= options_.capacity) {
            return;
        }
        it = flows_.find(flow_view{kind, group});
    }
    if (it == flows_.end()) {
        it = flows_.emplace(flow{kind, group}, std::vector<service_fraction>{}).first;
    }
    it->second.push_back({service, clamped, now});
    ++size_;
}

double flow_table::min_fraction(std::span<const service_name> path, const kind_name& kind,
                                const group_name& group, mono_time now) const
{
    const auto it = flows_.find(flow_view{kind, group});
    if (it == flows_.end()) {
        return 1.0;
    }
    double result = 1.0;
    for (const auto& entry : it->second) {
        const double fraction = fraction_at(entry, now);
        if (fraction < result && !is_expired(entry, now) &&
            std::ranges::find(path, entry.service) != path.end()) {
            result = fraction;
        }
    }
    return result;
}

void flow_table::expire(mono_time now)
{
    for (auto it = flows_.begin(); it != flows_.end();) {
        size_ -= std::erase_if(it->second, [&](const auto& e) { return is_expired(e, now); });
        it = it->second.empty() ? flows_.erase(it) : std::next(it);
    }
}

} // namespace trefoil
