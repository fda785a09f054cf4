#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace trefoil {

/// Builds one log line of key=value pairs that starts with `event=<name>`. Empty values and values
/// that contain white space, quotes or `=` are quoted.
class log_event {
public:
    explicit log_event(std::string_view name);

    /// Appends `key=value`; the value is formatted with its stream operator.
    template<class Value>
    log_event& add(std::string_view key, const Value& value)
    {
        std::ostringstream text;
        text << value;
        append(key, text.str());
        return *this;
    }

    /// Writes the line to the log with severity INFO.
    void info() const;
    /// Writes the line to the log with severity WARNING.
    void warning() const;
    /// Writes the line to the log with severity ERROR.
    void error() const;

    /// The line as built so far, without glog's prefix.
    const std::string& line() const noexcept { return line_; }

private:
    void append(std::string_view key, const std::string& value);

    std::string line_;
};

} // namespace trefoil
