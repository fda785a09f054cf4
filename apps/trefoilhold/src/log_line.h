#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoil {

/// One event of a node's log.
struct log_line {
    /// Day and time as written, `YYYYMMDD HH:MM:SS.ffffff`; orders lines of one clock.
    std::string time;
    /// What stands before the time, as a collector of logs adds it; empty if nothing does.
    std::string source;
    std::string event;
    /// The other fields, in order.
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of a field; empty if there is none.
    std::string_view field(std::string_view key) const;
};

/// Reads a line as log_event and glog write it. Empty: the line is no event.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace trefoil
