#pragma once

#include "once/member_list.h"
#include "wire/vm_list.h"

#include <unordered_map>

namespace trefoil {

/// An accepted VM list, indexed for lookups on the call path. Immutable.
struct list_snapshot {
    explicit list_snapshot(const vm_list& list);

    /// Live members of a service; empty if there are none.
    const member_list& members_of(const service_name& service) const;
    /// Null if the VM is not listed.
    const vm_entry* find(const vm_name& vm) const;

    vm_list list;

private:
    std::unordered_map<service_name, member_list> members_;
    std::unordered_map<vm_name, vm_entry> vms_;
};

} // namespace trefoil
