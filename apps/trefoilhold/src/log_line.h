#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoil {

/// One parsed event line of a node's log.
struct log_line {
    /// Date and time as written, `YYYYMMDD HH:MM:SS.ffffff`; lexicographic order is order of time.
    std::string time;
    /// Prefix that a log collector added before the line; empty if there is none.
    std::string source;
    std::string event;
    /// Fields other than `event`, in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of the first field of that name; empty if there is none.
    std::string_view field(std::string_view key) const;
};

/// Parses a line in the format of log_event and glog. Returns nullopt if the line is not an event.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace trefoil
