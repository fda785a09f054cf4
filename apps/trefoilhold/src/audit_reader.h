#pragma once

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

/// New entries from one response of `/audit`.
struct audit_page {
    std::vector<web::json::value> entries;
    /// Number of entries that the node dropped before they were read.
    std::uint64_t missed = 0;
    /// Whether the node was restarted, so that its audit trail is numbered from 1 again.
    bool restarted = false;
};

/// Reads a node's audit trail incrementally. Each request includes the last entry already read: if
/// it is missing or differs, the node was restarted and numbers its entries from 1 again.
class audit_reader {
public:
    /// HTTP path and query of the next request.
    std::string next_path() const;

    /// Processes a response, an object with an array `entries` whose elements have a `number`, and
    /// returns its new entries. After a restart of the node the page is empty and the next request
    /// starts at the first entry. Throws invalid_audit_trail.
    audit_page consume(const web::json::value& answer);

private:
    std::uint64_t last_number_ = 0;
    web::json::value last_entry_;
};

/// Formats an entry as one line: its time, its number, and every other field.
std::string describe_audit_entry(const web::json::value& entry);

} // namespace trefoil
