#pragma once

#include "command_line.h"
#include "exit_code.h"
#include "output.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace trefoil {

/// A subcommand of the tool.
struct command {
    std::string name;
    /// Operands as shown in the help text, such as `NODE`.
    std::string operands;
    std::string help;
    /// Options besides --help and --json, which every command has.
    std::vector<option_spec> options;
    std::size_t min_operands = 1;
    std::size_t max_operands = std::numeric_limits<std::size_t>::max();
    /// Runs the command. Throws exceptions derived from error.
    std::function<exit_code(const command_line&, const output&)> run;
};

command check_command();
command diff_command();
command build_command();
command status_command();
command fleet_command();
command audit_command();
command explain_command();

} // namespace trefoil
