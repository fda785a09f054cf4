#include "list_snapshot.h"

namespace trefoil {

list_snapshot::list_snapshot(const vm_list& source) : list(source)
{
    std::unordered_map<service_name, std::vector<vm_name>> live;
    for (const auto& vm : list.vms) {
        vms_[vm.name] = vm;
        if (vm.state == vm_state::live) {
            live[vm.service].push_back(vm.name);
        }
    }
    for (auto& [service, names] : live) {
        members_[service] = member_list(list.revision, std::move(names));
    }
}

const member_list& list_snapshot::members_of(const service_name& service) const
{
    static const member_list none;
    const auto it = members_.find(service);
    return it == members_.end() ? none : it->second;
}

const vm_entry* list_snapshot::find(const vm_name& vm) const
{
    const auto it = vms_.find(vm);
    return it == vms_.end() ? nullptr : &it->second;
}

} // namespace trefoil
