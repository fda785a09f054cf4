#pragma once

#include <map>
#include <string>
#include <vector>

namespace trefoil {

/// An option of a subcommand.
struct option_spec {
    std::string name;
    /// Placeholder of the value in the help text; empty if the option takes no value.
    std::string value_name;
    std::string help;
};

/// Parsed arguments of a subcommand.
class command_line {
public:
    /// Parses the arguments; options and operands may be mixed. Throws usage_error for an unknown
    /// or repeated option and for a missing value.
    command_line(const std::vector<std::string>& arguments,
                 const std::vector<option_spec>& options);

    bool has(const std::string& option) const { return values_.contains(option); }
    /// Value of a required option. Throws usage_error.
    const std::string& value(const std::string& option) const;
    const std::vector<std::string>& operands() const noexcept { return operands_; }

private:
    std::map<std::string, std::string> values_;
    std::vector<std::string> operands_;
};

} // namespace trefoil
