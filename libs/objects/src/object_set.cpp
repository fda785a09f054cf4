#include "objects/object_set.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace trefoil {

namespace {

template<class Object, class Name>
const Object* find_by_name(const std::vector<Object>& objects, const Name& name)
{
    const auto it = std::ranges::find(objects, name, &Object::name);
    return it == objects.end() ? nullptr : &*it;
}

bool edge_carries(const call_edge& edge, const kind_name& name)
{
    return edge.kinds.empty() || std::ranges::find(edge.kinds, name) != edge.kinds.end();
}

} // namespace

const group* object_set::find(const group_name& name) const
{
    return find_by_name(groups, name);
}

const rank* object_set::find(const rank_name& name) const
{
    return find_by_name(ranks, name);
}

const kind* object_set::find(const kind_name& name) const
{
    return find_by_name(kinds, name);
}

const service* object_set::find(const service_name& name) const
{
    return find_by_name(services, name);
}

std::vector<service_name> object_set::path_of(const kind& k) const
{
    std::vector<service_name> path{k.entry};
    for (std::size_t i = 0; i < path.size(); ++i) {
        for (const auto& edge : calls) {
            const bool known = std::ranges::find(path, edge.to) != path.end();
            if (edge.from == path[i] && edge_carries(edge, k.name) && !known) {
                path.push_back(edge.to);
            }
        }
    }
    return path;
}

object_set canonical_order(object_set objects)
{
    std::ranges::sort(objects.groups, {}, &group::name);
    std::ranges::sort(objects.ranks, {}, &rank::name);
    std::ranges::sort(objects.kinds, {}, &kind::name);
    std::ranges::sort(objects.services, {}, &service::name);
    for (auto& edge : objects.calls) {
        std::ranges::sort(edge.kinds);
    }
    std::ranges::sort(objects.calls, {},
                      [](const call_edge& edge) { return std::tie(edge.from, edge.to); });
    return objects;
}

} // namespace trefoil
