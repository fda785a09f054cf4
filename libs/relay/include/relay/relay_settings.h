#pragma once

#include "base/names.h"
#include "call_io/asio.h"
#include "relay/header_dialect.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace trefoil {

/// Settings of one relay node.
struct relay_settings {
    vm_name vm;
    availability_zone_name zone;
    /// Service of the target beside this node.
    service_name service;
    /// Callers on this VM and the own target send their requests here.
    tcp::endpoint outbound;
    /// Other nodes send requests for the own target here; the port is the same on all VMs.
    tcp::endpoint inbound;
    /// The platform asks here whether the node is ready.
    tcp::endpoint ready;
    /// Counters and latency histograms are served here; none if not set.
    std::optional<tcp::endpoint> metrics;
    /// The target beside this node.
    tcp::endpoint upstream;
    /// Path of the readiness question.
    std::string ready_path = "/ready";
    header_dialect headers;
    /// Time from SIGTERM until the process is killed.
    std::chrono::milliseconds grace{6000};
    /// Repeats that all nodes together may make, as a part of the requests for a service.
    double retry_ratio = 0.2;
    /// Memory that the process may use.
    std::size_t memory_bytes = std::size_t{256} << 20U;
};

} // namespace trefoil
