#pragma once

#include "base/names.h"

#include <cstdint>
#include <string>

namespace trefoil {

/// Identifies one run of a target. A target that restarts with the same id has a later `start`.
struct target_id {
    std::string id;
    /// Increases with each restart under the same id.
    std::uint64_t start = 0;

    friend bool operator==(const target_id&, const target_id&) = default;
};

/// Entry that a target publishes in the store.
struct target_entry {
    target_id id;
    service_name service;
    availability_zone_name zone;
    /// IP address of its VM, which also runs its node.
    std::string address;
    std::uint16_t port = 0;
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    /// Set while the target is shutting down and accepts no new requests.
    bool leaving = false;
    /// Sequence number of the entry since the start of the target.
    std::uint64_t update = 0;
    /// Set while the target is warming up and slower than usual.
    bool warming = false;

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

/// Whether an entry was published before another one of the same id.
inline bool is_older(const target_entry& entry, const target_entry& other)
{
    if (entry.id.start != other.id.start) {
        return entry.id.start < other.id.start;
    }
    return entry.update < other.update;
}

} // namespace trefoil
