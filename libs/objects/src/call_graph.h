#pragma once

#include "objects/object_set.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace trefoil {

/// The call edges of a set, indexed by calling service. Keeps pointers to the edges, which must
/// outlive the graph.
class call_graph {
public:
    explicit call_graph(const std::vector<call_edge>& edges);

    /// Returns the services of one cycle in call order, with the first repeated at the end, or an
    /// empty list if the graph has no cycle.
    std::vector<service_name> find_cycle() const;

    /// Returns the services that requests of this kind reach, including the entry service.
    std::set<service_name> reachable_services(const kind& k) const;

private:
    using edge_list = std::vector<const call_edge*>;

    const edge_list& edges_from(const service_name& name) const;

    std::map<service_name, edge_list> edges_;
};

} // namespace trefoil
