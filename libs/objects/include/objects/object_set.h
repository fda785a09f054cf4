#pragma once

#include "objects/call_edge.h"
#include "objects/group.h"
#include "objects/kind.h"
#include "objects/rank.h"
#include "objects/service.h"

#include <vector>

namespace trefoil {

/// All configuration objects of one deployment. Names are unique within each list once checked.
struct object_set {
    std::vector<group> groups;
    std::vector<rank> ranks;
    std::vector<kind> kinds;
    std::vector<service> services;
    std::vector<call_edge> calls;

    /// Look up by name; null if there is none. The pointer is valid while the set is unchanged.
    const group* find(const group_name& name) const;
    const rank* find(const rank_name& name) const;
    const kind* find(const kind_name& name) const;
    const service* find(const service_name& name) const;

    /// Services that requests of this kind reach, the entry service first, each once.
    std::vector<service_name> path_of(const kind& k) const;

    /// Compares the lists in their order; see canonical_order.
    friend bool operator==(const object_set&, const object_set&) = default;
};

/// The same objects with every list sorted by name, calls by their ends, so that sets which differ
/// only in the order of their objects become equal.
object_set canonical_order(object_set objects);

} // namespace trefoil
