#include "base/log_event.h"

#include <glog/logging.h>

namespace trefoil {

namespace {

bool needs_quotes(const std::string& value)
{
    return value.empty() || value.find_first_of(" \t\n\r\"=") != std::string::npos;
}

std::string quoted(const std::string& value)
{
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out.push_back('\\');
        }
        // A line break within a value would split the event into two log lines.
        out.push_back(c == '\n' || c == '\r' ? ' ' : c);
    }
    out.push_back('"');
    return out;
}

} // namespace

log_event::log_event(std::string_view name) : line_("event=" + std::string(name)) {}

void log_event::append(std::string_view key, const std::string& value)
{
    line_.push_back(' ');
    line_.append(key);
    line_.push_back('=');
    line_.append(needs_quotes(value) ? quoted(value) : value);
}

void log_event::info() const
{
    LOG(INFO) << line_;
}

void log_event::warning() const
{
    LOG(WARNING) << line_;
}

void log_event::error() const
{
    LOG(ERROR) << line_;
}

} // namespace trefoil
