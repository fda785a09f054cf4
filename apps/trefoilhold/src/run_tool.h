#pragma once

#include "exit_code.h"
#include "output.h"

#include <string>
#include <vector>

namespace trefoil {

/// Runs the tool with the arguments that follow the program's name. Does not throw on failures of
/// the project; it writes them to `to.err` and returns their exit status.
exit_code run_tool(const std::vector<std::string>& arguments, const output& to);

} // namespace trefoil
