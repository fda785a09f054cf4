#pragma once

#include "base/error.h"
#include "base/names.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoil {

/// Thrown when the settings file is invalid. key() is the key at fault, or the file if it cannot be
/// parsed.
class invalid_settings : public error {
public:
    invalid_settings(const std::string& key, const std::string& detail)
        : error("settings: " + key + ": " + detail), key_(key)
    {
    }

    const std::string& key() const noexcept { return key_; }

private:
    std::string key_;
};

/// Settings of a node, read from its TOML file.
struct settings {
    /// Nodes exchange messages only with nodes of the same cluster.
    std::string cluster = "trefoilhold";
    vm_name vm;
    availability_zone_name availability_zone;
    service_name service;
    /// IP address at which the node listens and other nodes reach it.
    std::string address = "127.0.0.1";
    std::uint16_t call_port = 0;
    std::uint16_t control_port = 0;

    std::string upstream_address = "127.0.0.1";
    std::uint16_t upstream_port = 0;

    std::string platform_address = "127.0.0.1";
    std::uint16_t platform_port = 0;

    /// Threads that serve calls. One thread gives the lowest latency at the load of a single
    /// target.
    std::size_t call_threads = 2;
    /// Max time that a shutdown waits for requests in flight.
    std::chrono::milliseconds drain_timeout{30'000};
    /// If false, there is no admission control, no retry limit and no once-only check. Used only
    /// for baseline measurements.
    bool control = true;
};

/// Reads and checks a settings file. Throws invalid_settings.
settings load_settings(const std::string& file);

} // namespace trefoil
