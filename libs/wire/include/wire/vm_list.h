#pragma once

#include "base/error.h"
#include "base/names.h"
#include "base/versions.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Maximum size of the JSON form of a VM list, in bytes: the platform's limit for one value.
inline constexpr std::size_t max_vm_list_bytes = 1'000'000;

/// Thrown when the JSON form of a VM list is invalid.
class invalid_vm_list : public error {
public:
    explicit invalid_vm_list(const std::string& detail);
};

/// State of a VM as published by the platform, which may be out of date.
enum class vm_state : std::uint8_t { live, leaving };

/// A VM that runs a target of a service, with the address and the ports of its node.
struct vm_entry {
    vm_name name;
    availability_zone_name availability_zone;
    service_name service;
    /// IPv4 or IPv6 address in text form; host names are not accepted.
    std::string address;
    std::uint16_t call_port = 0;
    std::uint16_t control_port = 0;
    vm_state state = vm_state::live;

    friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

/// The platform's list of VMs at one revision.
struct vm_list {
    list_revision revision;
    std::vector<vm_entry> vms;

    /// The entry of a VM, or nullptr if the list does not contain it.
    const vm_entry* find(const vm_name& name) const;

    /// All entries of a service, including VMs that are leaving.
    std::vector<vm_entry> of_service(const service_name& name) const;
};

/// Parses the JSON form; unknown fields are ignored. Invalid input of any kind throws
/// invalid_vm_list.
vm_list parse_vm_list(std::string_view json);

/// Formats the list as JSON on one line.
std::string to_json(const vm_list& list);

} // namespace trefoil
