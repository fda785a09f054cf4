#include "admission/admission_policy.h"

#include <algorithm>
#include <cstddef>
#include <string>

namespace trefoil {

namespace {

template<class Index, class Entry, class Name>
std::optional<Index> find_by_name(const std::vector<Entry>& entries, const Name& name)
{
    const auto it = std::ranges::find(entries, name, &Entry::name);
    if (it == entries.end()) {
        return std::nullopt;
    }
    return Index{static_cast<std::uint32_t>(it - entries.begin())};
}

} // namespace

std::optional<kind_index> admission_policy::find(const kind_name& name) const
{
    return find_by_name<kind_index>(kinds, name);
}

std::optional<group_index> admission_policy::find(const group_name& name) const
{
    return find_by_name<group_index>(groups, name);
}

std::optional<rank_index> admission_policy::find(const rank_name& name) const
{
    return find_by_name<rank_index>(ranks, name);
}

admission_policy make_admission_policy(const object_set& objects, const service_name& service)
{
    admission_policy policy;
    const auto* target = objects.find(service);
    if (target == nullptr || target->slots == 0) {
        throw invalid_admission_policy("service is unknown or has no slots: " + service.str());
    }
    policy.slots = target->slots;
    for (const auto& r : objects.ranks) {
        if (!(r.share >= 0.0)) {
            throw invalid_admission_policy("share is negative or not a number in rank " +
                                           r.name.str());
        }
        policy.ranks.push_back({r.name, r.order, r.share});
    }
    std::ranges::stable_sort(policy.ranks, {}, &admission_policy::rank_entry::order);
    for (const auto& g : objects.groups) {
        if (!(g.share > 0.0)) {
            throw invalid_admission_policy("share is not greater than 0 in group " + g.name.str());
        }
        policy.groups.push_back({g.name, g.share});
    }
    for (const auto& k : objects.kinds) {
        const auto rank = policy.find(k.rank);
        if (!rank) {
            throw invalid_admission_policy("rank is unknown in kind " + k.name.str());
        }
        policy.kinds.push_back({k.name, *rank});
    }
    return policy;
}

} // namespace trefoil
