#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace trefoil {

/// One log line of key=value pairs. Values with spaces or quotes are quoted.
class log_event {
public:
    explicit log_event(std::string_view name);

    template<class Value>
    log_event& add(std::string_view key, const Value& value)
    {
        std::ostringstream text;
        text << value;
        append(key, text.str());
        return *this;
    }

    /// Writes the line through glog at the given level.
    void info() const;
    void warning() const;
    void error() const;

    const std::string& line() const noexcept { return line_; }

private:
    void append(std::string_view key, const std::string& value);

    std::string line_;
};

} // namespace trefoil
