#include "topology.h"

#include <algorithm>
#include <limits>

namespace trefoil::experiment {

using namespace std::chrono_literals;

std::chrono::microseconds topology::bottleneck_work(std::size_t kind) const
{
    const auto& k = kinds.at(kind);
    const auto at = std::ranges::find(k.path, bottleneck);
    return at == k.path.end() ? 0us : k.work.at(static_cast<std::size_t>(at - k.path.begin()));
}

double topology::kind_capacity(std::size_t kind) const
{
    const auto& k = kinds.at(kind);
    double capacity = std::numeric_limits<double>::max();
    for (std::size_t hop = 0; hop < k.path.size(); ++hop) {
        const double seconds = std::chrono::duration<double>(k.work[hop]).count();
        capacity = std::min(capacity, services[k.path[hop]].slots / seconds);
    }
    return capacity;
}

object_set topology::objects() const
{
    object_set o;
    o.ranks = {{rank_name("urgent"), 1, 2.0},
               {rank_name("normal"), 2, 1.0},
               {rank_name("browsing"), 3, 0.0}};
    o.groups = {{group_name("hotel"), 2.0}, {group_name("resort"), 1.0}, {group_name("shop"), 1.0}};
    for (const auto& k : kinds) {
        kind added;
        added.name = k.name;
        added.rank = k.rank;
        added.entry = services[k.path.front()].name;
        o.kinds.push_back(added);
    }
    for (const auto& s : services) {
        o.services.push_back({s.name, s.slots, s.connections});
    }
    return o;
}

topology one_target()
{
    topology t;
    t.name = "one-target";
    t.services = {{service_name("shared"), 40, 300}};
    const rank_name urgent("urgent");
    const rank_name normal("normal");
    // 2,000 work items of 20 ms per second fill the slots: half of the work is of the browsing
    // rank, half of the ranks with a share.
    t.kinds = {{kind_name("order"), urgent, {0}, {20ms}, 200.0},
               {kind_name("refund"), urgent, {0}, {20ms}, 200.0},
               {kind_name("renew"), normal, {0}, {20ms}, 300.0},
               {kind_name("ship"), normal, {0}, {20ms}, 300.0},
               {kind_name("browse"), rank_name("browsing"), {0}, {10ms}, 2000.0}};
    t.browsing_kind = 4;
    t.urgent_kind = 0;
    return t;
}

topology three_services()
{
    topology t;
    t.name = "three-services";
    t.services = {{service_name("pedidos"), 75, 550},
                  {service_name("bastidores"), 75, 550},
                  {service_name("tinturaria"), 20, 200}};
    const rank_name urgent("urgent");
    const rank_name normal("normal");
    // 1,000 work items of 20 ms per second fill the slots of the dye house (tinturaria). About half
    // of the slots of the other services are then in use, most of them waiting for the dye house.
    t.kinds = {{kind_name("confirm_order"), urgent, {0, 1, 2}, {10ms, 15ms, 20ms}, 600.0},
               {kind_name("amend_order"), urgent, {0}, {20ms}, 200.0},
               {kind_name("release_lot"), normal, {2}, {20ms}, 400.0},
               {kind_name("reserve"), normal, {1}, {15ms}, 400.0},
               {kind_name("browse"), rank_name("browsing"), {1}, {10ms}, 1000.0}};
    t.bottleneck = 2;
    t.browsing_kind = 4;
    t.urgent_kind = 0;
    return t;
}

} // namespace trefoil::experiment
