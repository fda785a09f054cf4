#pragma once

#include "objects/call_edge.h"
#include "objects/group.h"
#include "objects/kind.h"
#include "objects/rank.h"
#include "objects/service.h"

#include <vector>

namespace trefoil {

/// All configuration objects of one deployment. In a validated set, names are unique within each
/// list.
struct object_set {
    std::vector<group> groups;
    std::vector<rank> ranks;
    std::vector<kind> kinds;
    std::vector<service> services;
    std::vector<call_edge> calls;

    /// Finds an object by name; returns null if there is none. The pointer is invalidated by any
    /// change of the set.
    const group* find(const group_name& name) const;
    const rank* find(const rank_name& name) const;
    const kind* find(const kind_name& name) const;
    const service* find(const service_name& name) const;

    /// Returns the services that requests of this kind reach, in breadth-first order from the entry
    /// service, without duplicates.
    std::vector<service_name> path_of(const kind& k) const;

    /// Sensitive to the order of the objects; see canonical_order.
    friend bool operator==(const object_set&, const object_set&) = default;
};

/// Sorts every list by name, and calls by `from` and `to`, so that sets that differ only in the
/// order of their objects compare equal.
object_set canonical_order(object_set objects);

} // namespace trefoil
