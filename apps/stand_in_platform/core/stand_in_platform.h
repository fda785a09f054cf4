#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace trefoil {

/// Thrown when the port cannot be opened.
class platform_port_unavailable : public error {
public:
    explicit platform_port_unavailable(const std::string& detail);
};

struct stand_in_platform_options {
    std::string address = "127.0.0.1";
    /// 0: a free port is chosen.
    std::uint16_t port = 0;
    /// Bundle file; its version stands in the table [bundle].
    std::filesystem::path config_file = {};
    /// VM list in JSON.
    std::filesystem::path list_file = {};
    /// Text for parse_platform_mode; an absent file means `up`.
    std::filesystem::path control_file = {};
    /// Calls beyond are answered with status 429.
    std::uint64_t calls_per_second = 2000;
    /// How often the files are looked at; a replacement must be noticed within 100 ms.
    std::chrono::milliseconds poll{20};
};

/// Counts since the start. A waiting watch is one call; `/stats` is none.
struct platform_stats {
    std::uint64_t calls = 0;
    std::uint64_t config_calls = 0;
    std::uint64_t list_calls = 0;
    /// Answered with status 429.
    std::uint64_t over_rate = 0;
    /// Answered with status 503.
    std::uint64_t refused = 0;
    /// Most calls within one second.
    std::uint64_t peak_per_second = 0;
    /// Watches waiting now.
    std::uint64_t waiting = 0;
};

/// Serves `GET /v1/values/config`, `GET /v1/vms` and `GET /stats` from construction to destruction.
class stand_in_platform {
public:
    /// Throws platform_port_unavailable.
    explicit stand_in_platform(stand_in_platform_options options);
    ~stand_in_platform();
    stand_in_platform(const stand_in_platform&) = delete;
    stand_in_platform& operator=(const stand_in_platform&) = delete;

    std::uint16_t port() const noexcept;
    platform_stats stats() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
