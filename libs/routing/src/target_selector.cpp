#include "routing/target_selector.h"

#include "base/hash.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace trefoil {

namespace {

/// What panic routing and trials depend on. Reads only flags, since it runs over all candidates.
struct census {
    std::size_t staying = 0;
    std::size_t healthy = 0;
    bool has_trial = false;
};

census count(std::span<const target_candidate> candidates)
{
    census result;
    for (const auto& c : candidates) {
        result.staying += c.leaving ? 0 : 1;
        result.healthy += c.healthy && !c.leaving ? 1 : 0;
        result.has_trial = result.has_trial || c.trial_due;
    }
    return result;
}

/// Indices derived from one random number.
class index_stream {
public:
    explicit index_stream(std::uint64_t seed) : state_(seed) {}

    /// An index below `size`, which is below 2^32.
    std::size_t next(std::size_t size)
    {
        state_ += 0x9e3779b97f4a7c15U;
        return static_cast<std::size_t>(((mix64(state_) >> 32U) * size) >> 32U);
    }

private:
    std::uint64_t state_;
};

/// Draws made before all candidates are looked at. Comparing names is the largest part of the cost,
/// and with a third of the candidates matching, this many draws fail once in a hundred times.
constexpr int draw_limit = 12;

/// A random candidate that matches; null if none does.
template<class Predicate>
const target_candidate* draw(std::span<const target_candidate> candidates, index_stream& indices,
                             Predicate matches)
{
    if (candidates.empty()) {
        return nullptr;
    }
    for (int i = 0; i < draw_limit; ++i) {
        const auto& c = candidates[indices.next(candidates.size())];
        if (matches(c)) {
            return &c;
        }
    }
    const auto matching = std::ranges::count_if(candidates, matches);
    if (matching == 0) {
        return nullptr;
    }
    auto skip = indices.next(static_cast<std::size_t>(matching));
    const auto it =
        std::ranges::find_if(candidates, [&](const auto& c) { return matches(c) && skip-- == 0; });
    return &*it;
}

/// Loads of two targets in a common unit: expected work if both latencies are known, otherwise
/// the calls in flight, because a target without a measurement must not appear free of load.
std::pair<double, double> loads(const target_candidate& a, const target_candidate& b)
{
    const double calls_a = a.in_flight + 1.0;
    const double calls_b = b.in_flight + 1.0;
    if (a.latency.count() <= 0 || b.latency.count() <= 0) {
        return {calls_a, calls_b};
    }
    return {calls_a * static_cast<double>(a.latency.count()),
            calls_b * static_cast<double>(b.latency.count())};
}

/// The less loaded of two random candidates that match; null if none does.
template<class Predicate>
const target_candidate* less_loaded_of_two(std::span<const target_candidate> candidates,
                                           index_stream& indices, Predicate matches)
{
    const auto* a = draw(candidates, indices, matches);
    if (a == nullptr) {
        return nullptr;
    }
    const auto* b = draw(candidates, indices, [&](const auto& c) { return &c != a && matches(c); });
    if (b == nullptr) {
        return a;
    }
    const auto [load_a, load_b] = loads(*a, *b);
    return load_b < load_a ? b : a;
}

std::optional<target_choice> choice_of(const target_candidate* target, selection_mode mode)
{
    return target == nullptr ? std::nullopt : std::optional(target_choice{target, mode});
}

} // namespace

std::optional<target_choice> target_selector::pick(std::span<const target_candidate> candidates,
                                                   const availability_zone_name& own_zone,
                                                   std::span<const vm_name> excluded,
                                                   std::uint64_t random, trial_policy trials) const
{
    index_stream indices(random);
    const auto is_usable = [&](const target_candidate& c) {
        return !c.leaving && std::ranges::find(excluded, c.vm) == excluded.end();
    };
    const auto counts = count(candidates);
    if (counts.healthy * 2 < counts.staying) {
        return choice_of(less_loaded_of_two(candidates, indices, is_usable), selection_mode::panic);
    }
    if (trials == trial_policy::allowed && counts.has_trial) {
        const auto is_trial = [&](const auto& c) {
            return c.trial_due && !c.healthy && is_usable(c);
        };
        if (const auto* target = draw(candidates, indices, is_trial)) {
            return target_choice{target, selection_mode::trial};
        }
    }
    const auto* own = less_loaded_of_two(candidates, indices, [&](const auto& c) {
        return c.healthy && c.availability_zone == own_zone && is_usable(c);
    });
    if (own != nullptr && own->in_flight < options_.zone_in_flight) {
        return target_choice{own, selection_mode::own_zone};
    }
    const auto* other = less_loaded_of_two(candidates, indices, [&](const auto& c) {
        return c.healthy && c.availability_zone != own_zone && is_usable(c);
    });
    if (own == nullptr) {
        return choice_of(other, selection_mode::other_zone);
    }
    if (other != nullptr) {
        const auto [own_load, other_load] = loads(*own, *other);
        if (own_load > options_.zone_preference * other_load) {
            return target_choice{other, selection_mode::other_zone};
        }
    }
    return target_choice{own, selection_mode::own_zone};
}

} // namespace trefoil
