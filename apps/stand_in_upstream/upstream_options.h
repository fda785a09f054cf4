#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

/// Thrown when the command line cannot be used.
class invalid_option : public trefoil::error {
public:
    explicit invalid_option(const std::string& text) : error(text) {}
};

/// Settings of the upstream stand-in, from its command line.
struct upstream_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string service = "service";
    /// Call port of the node beside this upstream, `ip:port`; empty: no onward calls.
    std::string node;
    std::uint32_t slots = 20;
    std::chrono::milliseconds service_time{10};
    /// Work waiting for a slot beyond this number is refused as `not-run`. 0: never refuse.
    std::uint32_t shed_queue = 0;
    /// Work takes up to 5 times as long at the start and reaches its normal time after this.
    std::chrono::milliseconds cold_start{0};
    std::uint32_t seed = 1;
    /// Onward call that requests of a kind make: kind to service.
    std::map<std::string, std::string> calls;
    /// How often this upstream itself repeats an onward call that failed.
    std::uint32_t own_retries = 0;
};

/// Reads the command line. Throws invalid_option.
upstream_options parse_options(int argc, char** argv);
