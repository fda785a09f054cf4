#pragma once

#include "base/names.h"

#include <memory>
#include <vector>

namespace trefoil {

/// Name and availability zone of a node, the input of the gossip decisions.
struct gossip_member {
    vm_name name;
    availability_zone_name availability_zone;

    friend bool operator==(const gossip_member&, const gossip_member&) = default;
};

using gossip_members = std::vector<gossip_member>;

/// Shared by all components of a node that use the members, to avoid copies.
using shared_members = std::shared_ptr<const gossip_members>;

} // namespace trefoil
