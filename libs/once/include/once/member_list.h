#pragma once

#include "base/names.h"
#include "base/versions.h"
#include "wire/vm_list.h"

#include <cstdint>
#include <vector>

namespace trefoil {

/// The live VMs of one service at one list revision. VMs that are leaving own no ids and are not
/// counted in majorities.
class member_list {
public:
    member_list() = default;

    /// Sorts the names and removes duplicates.
    member_list(list_revision revision, std::vector<vm_name> names);

    /// Takes the live VMs of `service` from the platform's list.
    static member_list of_service(const vm_list& list, const service_name& service);

    list_revision revision() const noexcept { return revision_; }
    const std::vector<vm_name>& names() const noexcept { return names_; }
    /// Hash of each name, in the order of names().
    const std::vector<std::uint64_t>& name_hashes() const noexcept { return name_hashes_; }
    /// Hash over the names but not the revision: equal for lists with the same members.
    std::uint64_t digest() const noexcept { return digest_; }

    bool empty() const noexcept { return names_.empty(); }
    std::size_t size() const noexcept { return names_.size(); }
    bool contains(const vm_name& name) const;
    /// Smallest number of members that is a strict majority.
    std::size_t majority() const noexcept { return (names_.size() / 2) + 1; }

private:
    list_revision revision_;
    std::vector<vm_name> names_;
    std::vector<std::uint64_t> name_hashes_;
    std::uint64_t digest_ = 0;
};

} // namespace trefoil
