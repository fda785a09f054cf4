#pragma once

#include "log_line.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Log events of all nodes that concern one request and its calls.
struct request_trace {
    struct entry {
        /// Prefix added by a log collector, or else the name of the log file without extension.
        std::string process;
        log_line line;
    };

    /// In order of time after sort(); the clocks of the machines may differ.
    std::vector<entry> entries;
    /// Total number of lines, of any request, that the processes dropped to limit their log volume.
    std::size_t dropped = 0;

    /// Parses a log line and adds it if it concerns the request `id`. `process` names its log.
    void add(std::string_view id, const std::string& process, std::string_view text);

    void sort();
};

/// Whether `id` is the id `request` or that of a call made for this request.
bool belongs_to(std::string_view id, std::string_view request);

/// Describes the meaning of an event and its reason; empty for an unknown event.
std::string explain(const log_line& line);

} // namespace trefoil
