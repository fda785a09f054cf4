#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace trefoil {

/// One change of state that an operator may ask about.
struct audit_entry {
    /// Starts at 1 and grows by 1; set by audit_trail.
    std::uint64_t number = 0;
    wall_time time{};
    /// Kind of change, for example `config_accepted`.
    std::string what = {};
    /// What changed, for example a VM or an object.
    std::string subject = {};
    std::string from = {};
    std::string to = {};
    std::string why = {};
};

/// The newest changes of state on this node; each is also one log line. Thread-safe.
class audit_trail {
public:
    static constexpr std::size_t default_capacity = 1024;

    explicit audit_trail(std::size_t capacity = default_capacity) : capacity_(capacity) {}

    /// Adds the entry, drops the oldest beyond the capacity, and returns the entry's number.
    std::uint64_t record(audit_entry entry);

    /// Entries with a higher number than `after`, oldest first. A first number above after + 1
    /// means that entries were dropped.
    std::vector<audit_entry> after(std::uint64_t number) const;

    /// The same as a JSON object {"entries": [...]}; for `/audit`.
    std::string to_json(std::uint64_t after) const;

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::uint64_t last_ = 0;
    std::deque<audit_entry> entries_;
};

} // namespace trefoil
