#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace trefoil {

/// One state change of the node, recorded for operators.
struct audit_entry {
    /// Sequence number, assigned by audit_trail: starts at 1 and increases by 1.
    std::uint64_t number = 0;
    wall_time time{};
    /// Type of change, for example `config_accepted`.
    std::string what = {};
    /// What was changed, for example the name of a VM or an object.
    std::string subject = {};
    /// State before the change; empty if there is none.
    std::string from = {};
    /// State after the change; empty if there is none.
    std::string to = {};
    /// Reason for the change.
    std::string why = {};
};

/// Bounded list of the most recent state changes of this node. Each entry is also written to the
/// log. Thread-safe.
class audit_trail {
public:
    static constexpr std::size_t default_capacity = 1024;

    explicit audit_trail(std::size_t capacity = default_capacity) : capacity_(capacity) {}

    /// Appends the entry and returns its number. Discards the oldest entry if the capacity is
    /// exceeded.
    std::uint64_t record(audit_entry entry);

    /// Returns the entries with a number above `number`, oldest first. If the first of them has a
    /// number above number + 1, the entries in between have been discarded.
    std::vector<audit_entry> after(std::uint64_t number) const;

    /// Returns the entries with a number above `after` as the JSON object {"entries": [...]} that
    /// the path `/audit` serves.
    std::string to_json(std::uint64_t after) const;

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::uint64_t last_ = 0;
    std::deque<audit_entry> entries_;
};

} // namespace trefoil
