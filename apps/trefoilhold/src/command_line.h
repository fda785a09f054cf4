#pragma once

#include <map>
#include <string>
#include <vector>

namespace trefoil {

/// An option of a subcommand.
struct option_spec {
    std::string name;
    /// Name of the option's value in the help text; empty: the option takes none.
    std::string value_name;
    std::string help;
};

/// The arguments of a subcommand.
class command_line {
public:
    /// Reads options in any order among the operands. Throws usage_error.
    command_line(const std::vector<std::string>& arguments,
                 const std::vector<option_spec>& options);

    bool has(const std::string& option) const { return values_.contains(option); }
    /// Value of an option that must be present. Throws usage_error.
    const std::string& value(const std::string& option) const;
    const std::vector<std::string>& operands() const noexcept { return operands_; }

private:
    std::map<std::string, std::string> values_;
    std::vector<std::string> operands_;
};

} // namespace trefoil
