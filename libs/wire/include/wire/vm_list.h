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

/// Largest text of a VM list, in bytes: the platform's limit for one value.
inline constexpr std::size_t max_vm_list_bytes = 1'000'000;

/// Thrown when the text of a VM list cannot be read.
class invalid_vm_list : public error {
public:
    explicit invalid_vm_list(const std::string& detail);
};

/// State of a VM as the platform publishes it, which lags behind the truth.
enum class vm_state : std::uint8_t { live, leaving };

/// One VM: a target of a service, with its node's ports.
struct vm_entry {
    vm_name name;
    availability_zone_name availability_zone;
    service_name service;
    /// IP address in text form; names are not resolved.
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

    const vm_entry* find(const vm_name& name) const;

    /// The entries of a service, leaving ones included.
    std::vector<vm_entry> of_service(const service_name& name) const;
};

/// Reads the JSON form; unknown fields are skipped. Throws invalid_vm_list, and no other failure on
/// bad input.
vm_list parse_vm_list(std::string_view json);

/// Writes the JSON form.
std::string to_json(const vm_list& list);

} // namespace trefoil
