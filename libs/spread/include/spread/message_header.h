#pragma once

#include "base/names.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoil {

/// Version of the messages between nodes.
inline constexpr std::uint32_t protocol_version = 1;

/// Maximum size of a cluster, VM or service name in a message, in bytes.
inline constexpr std::size_t max_name_bytes = 128;

/// Fields that every message between nodes carries.
struct message_header {
    std::string cluster;
    std::uint32_t protocol = protocol_version;
    vm_name from;
    /// Grows with each start of the sender's process.
    std::uint64_t incarnation = 0;
    /// Grows with each message of the incarnation, starting at 1.
    std::uint64_t sequence = 0;

    friend bool operator==(const message_header&, const message_header&) = default;
};

} // namespace trefoil
