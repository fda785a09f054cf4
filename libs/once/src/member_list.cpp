#include "once/member_list.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace trefoil {

member_list::member_list(list_revision revision, std::vector<vm_name> names)
    : revision_(revision), names_(std::move(names))
{
    std::ranges::sort(names_);
    names_.erase(std::unique(names_.begin(), names_.end()), names_.end());
    name_hashes_.reserve(names_.size());
    for (const auto& name : names_) {
        name_hashes_.push_back(hash64(name.str()));
        digest_ = mix64(digest_ + 0x9e3779b97f4a7c15U + name_hashes_.back());
    }
}

member_list member_list::of_service(const vm_list& list, const service_name& service)
{
    std::vector<vm_name> names;
    for (const auto& vm : list.vms) {
        if (vm.service == service && vm.state == vm_state::live) {
            names.push_back(vm.name);
        }
    }
    return {list.revision, std::move(names)};
}

bool member_list::contains(const vm_name& name) const
{
    return std::ranges::binary_search(names_, name);
}

} // namespace trefoil
