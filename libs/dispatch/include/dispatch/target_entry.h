#pragma once

#include "base/names.h"

#include <cstdint>
#include <string>

namespace trefoil {

/// Identity of one start of a target. A target that starts again under its id has a later start.
struct target_id {
    std::string id;
    std::uint64_t start = 0;

    friend bool operator==(const target_id&, const target_id&) = default;
};

/// What a target publishes about itself.
struct target_entry {
    target_id id;
    service_name service;
    availability_zone_name zone;
    /// IP address of its VM, which also runs the node beside it.
    std::string address;
    std::uint16_t port = 0;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// It announced that it leaves and takes no new requests.
    bool leaving = false;
    /// Counts what the target published since its start.
    std::uint64_t update = 0;
    /// It started recently and is slower than it will be.
    bool warming = false;

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

} // namespace trefoil
