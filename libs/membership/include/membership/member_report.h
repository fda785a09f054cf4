#pragma once

#include "base/names.h"
#include "base/versions.h"

#include <vector>

namespace trefoil {

/// One run of a VM that announced that it is leaving.
struct drain_mark {
    vm_name vm;
    vm_incarnation incarnation;

    friend bool operator==(const drain_mark&, const drain_mark&) = default;
};

/// What one node tells its peers about the VMs it knows, in the fields `leaving` and `suspected` of
/// an exchange.
struct member_report {
    vm_name from;
    vm_incarnation incarnation;
    std::vector<drain_mark> leaving;
    /// Suspected because of the sender's own calls; what it heard from others is not passed on.
    /// Empty if the sender suspects itself.
    std::vector<vm_name> suspected;
};

} // namespace trefoil
