#pragma once

#include "base/names.h"

#include <memory>
#include <vector>

namespace trefoil {

/// Name and availability zone of a node, the input of the gossip decisions.
struct spread_member {
    vm_name name;
    availability_zone_name availability_zone;

    friend bool operator==(const spread_member&, const spread_member&) = default;
};

using spread_members = std::vector<spread_member>;

/// Shared by all components of a node that use the members, to avoid copies.
using shared_members = std::shared_ptr<const spread_members>;

} // namespace trefoil
