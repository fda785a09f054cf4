#pragma once

#include "log_line.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// What the logs of the nodes say about one request and the calls that belong to it.
struct request_trail {
    struct entry {
        /// Log file, or the source that the line names.
        std::string process;
        log_line line;
    };

    /// In order of time; the clocks of machines may differ.
    std::vector<entry> entries;
    /// Lines that the processes dropped to bound their logs, over their whole logs.
    std::size_t dropped = 0;

    /// Adds a line of a log if it concerns the request.
    void add(std::string_view id, const std::string& process, std::string_view text);

    void sort();
};

/// Whether the id is that of the request, or of a call that belongs to it.
bool belongs_to(std::string_view id, std::string_view request);

/// One sentence on what an event with its reason means; empty if the event is not known.
std::string explain(const log_line& line);

} // namespace trefoil
