#pragma once

#include <cstdint>
#include <map>
#include <string>

/// What the upstream really ran, for tests that check at-most-once execution.
class run_record {
public:
    void add(const std::string& kind, const std::string& root) { ++runs_[kind][root]; }
    void add_cancelled() { ++cancelled_; }

    /// JSON with the number of runs of each kind, and for the kind `detailed` each root request id
    /// and how often it ran.
    std::string to_json(const std::string& detailed) const;

private:
    std::map<std::string, std::map<std::string, std::uint32_t>> runs_;
    std::uint64_t cancelled_ = 0;
};
