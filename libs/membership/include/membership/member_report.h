#pragma once

#include "base/names.h"
#include "base/versions.h"

#include <vector>

namespace trefoil {

/// Announcement that one incarnation of a VM is leaving.
struct drain_announcement {
    vm_name vm;
    vm_incarnation incarnation;

    friend bool operator==(const drain_announcement&, const drain_announcement&) = default;
};

/// State of known VMs that a node reports to its peers, in the fields `leaving` and `suspected` of
/// an exchange.
struct member_report {
    vm_name from;
    vm_incarnation incarnation;
    std::vector<drain_announcement> leaving;
    /// VMs suspected because of the sender's own calls; reports received from peers are not
    /// forwarded. Empty if the sender suspects itself.
    std::vector<vm_name> suspected;
};

} // namespace trefoil
