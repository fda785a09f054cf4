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
    /// Service of the local target.
    service_name service;
    /// Endpoint for requests of callers on this VM and of the local target.
    tcp::endpoint outbound;
    /// Endpoint for requests of other nodes to the local target; the port is the same on all VMs.
    tcp::endpoint inbound;
    /// Endpoint of the readiness check that the platform calls.
    tcp::endpoint ready;
    /// Endpoint that serves counters and latency histograms; not served if empty.
    std::optional<tcp::endpoint> metrics;
    /// Endpoint of the local target.
    tcp::endpoint upstream;
    /// Path of the readiness check.
    std::string ready_path = "/ready";
    header_dialect headers;
    /// Time from SIGTERM until the process is killed.
    std::chrono::milliseconds grace{6000};
    /// Max retries of all nodes together, as a fraction of the requests for a service.
    double retry_ratio = 0.2;
    /// Length of the window to which `retry_ratio` applies.
    std::chrono::milliseconds retry_window{10'000};
    /// Memory limit of the process, in bytes.
    std::size_t memory_bytes = std::size_t{256} << 20U;
    /// Max number of open connections of the process.
    std::size_t max_connections = 3900;
};

} // namespace trefoil
