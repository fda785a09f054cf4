#pragma once

#include "base/names.h"

#include <memory>
#include <vector>

namespace trefoil {

/// A node as the spread decisions see it: its name and its availability zone.
struct spread_member {
    vm_name name;
    availability_zone_name availability_zone;

    friend bool operator==(const spread_member&, const spread_member&) = default;
};

using spread_members = std::vector<spread_member>;

/// One copy for all parts of a node that use the members.
using shared_members = std::shared_ptr<const spread_members>;

} // namespace trefoil
