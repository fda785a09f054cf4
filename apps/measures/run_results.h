#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Counts of one kind in one phase, over all groups.
struct kind_counts {
    std::uint64_t offered = 0;
    std::uint64_t sends = 0;
    std::uint64_t complete = 0;
    std::uint64_t wrong = 0;
    std::uint64_t failed = 0;

    double served() const
    {
        return offered == 0 ? 1.0 : static_cast<double>(complete) / static_cast<double>(offered);
    }
};

/// Results of one run of load_driver.
struct run_results {
    std::map<std::string, std::map<std::string, kind_counts>> phases;
    /// By kind: arrivals and completions of each bucket of 100 ms.
    std::map<std::string, std::map<std::uint64_t, kind_counts>> timeline;
    std::uint64_t ran_twice = 0;
    std::uint64_t once_only_ran = 0;
    std::uint64_t ran_although_not_run = 0;

    std::uint64_t total(std::uint64_t kind_counts::*field) const;
};

/// Reads the JSON file. Throws std::exception's descendants on a bad file.
run_results read_results(const std::string& file);
