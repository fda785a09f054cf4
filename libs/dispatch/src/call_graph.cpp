#include "dispatch/call_graph.h"

namespace trefoil {

namespace {

/// An edge is ignored if no call used it for this long, for example after a configuration change.
constexpr std::chrono::seconds edge_lifetime{20};

} // namespace

void call_graph::record(std::uint32_t parent, const called_route& child, mono_time now)
{
    last_seen_[{parent, child}] = now;
}

std::vector<called_route> call_graph::children(std::uint32_t parent, mono_time now) const
{
    std::vector<called_route> found;
    for (auto it = last_seen_.lower_bound({parent, {}});
         it != last_seen_.end() && it->first.first == parent; ++it) {
        if (now - it->second < edge_lifetime) {
            found.push_back(it->first.second);
        }
    }
    return found;
}

} // namespace trefoil
