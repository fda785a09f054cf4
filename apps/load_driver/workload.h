#pragma once

#include "base/error.h"
#include "call_io/asio.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Thrown when a workload file cannot be used.
class invalid_workload : public trefoil::error {
public:
    explicit invalid_workload(const std::string& text) : error(text) {}
};

/// Requests of one kind and group that arrive at a steady mean rate.
struct flow {
    std::string kind;
    std::string group;
    std::string service;
    /// Mean arrivals per second in a phase without a multiplier.
    double rate = 1.0;
    std::chrono::milliseconds deadline{2000};
    /// A caller waits this long for one answer, then sends again.
    std::chrono::milliseconds attempt_timeout{2000};
    /// Answer with `%` in place of the root request id.
    std::string expect;
    /// Repeats by the caller itself after an answer that is not complete.
    std::uint32_t caller_retries = 0;
    bool once_only = false;
};

/// A part of the run, with multipliers for the rate by kind.
struct phase {
    std::string name;
    std::chrono::milliseconds length{1000};
    std::map<std::string, double> multiply;
    /// Requests to stand-ins at the start of the phase, for example a slowdown: `ip:port/path`.
    std::vector<std::string> at_start;
};

/// An upstream stand-in whose record of what it ran is compared at the end.
struct recorded_upstream {
    std::string service;
    trefoil::tcp::endpoint address;
};

/// A workload file: who calls what, how often, in which phases.
struct workload {
    std::vector<trefoil::tcp::endpoint> entries;
    std::vector<flow> flows;
    std::vector<phase> phases;
    std::vector<recorded_upstream> upstreams;
    std::uint32_t seed = 1;
    /// Body of every request; empty: the request's id.
    std::string fixed_body;
    /// Callers repeat at once; otherwise they wait as long as the answer tells them.
    bool impatient = true;
};

/// Reads a TOML workload file. Throws invalid_workload.
workload load_workload(const std::string& file);
