#pragma once

#include "objects/object_set.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace trefoil {

/// The call edges of a set, indexed by their origin. Holds references to the edges.
class call_graph {
public:
    explicit call_graph(const std::vector<call_edge>& edges);

    /// Services of one cycle in call order, the first repeated at the end; empty if there is none.
    std::vector<service_name> find_cycle() const;

    /// Services that requests of this kind reach.
    std::set<service_name> reached_by(const kind& k) const;

private:
    using edge_list = std::vector<const call_edge*>;

    const edge_list& edges_from(const service_name& name) const;

    std::map<service_name, edge_list> edges_;
};

} // namespace trefoil
