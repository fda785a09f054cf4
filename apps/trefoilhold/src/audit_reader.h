#pragma once

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

/// What one answer of `/audit` adds.
struct audit_page {
    std::vector<web::json::value> entries;
    /// Entries that the node dropped before they were read.
    std::uint64_t missed = 0;
    /// The node's trail started again: the node was restarted.
    bool restarted = false;
};

/// Follows a node's audit trail over several answers. Each request repeats the last entry read, so
/// that a restarted node, whose entries are numbered from 1 again, is noticed.
class audit_reader {
public:
    /// Path of the next request.
    std::string next_path() const;

    /// Takes over an answer, an object with an array `entries` whose elements have a `number`.
    /// After a restart the page has no entries and the next request starts at the first one.
    /// Throws invalid_audit_trail.
    audit_page take(const web::json::value& answer);

private:
    std::uint64_t last_number_ = 0;
    web::json::value last_entry_;
};

/// One line for an entry: its time, its number, and every other field.
std::string describe_audit_entry(const web::json::value& entry);

} // namespace trefoil
