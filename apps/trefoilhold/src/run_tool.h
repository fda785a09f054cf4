#pragma once

#include "exit_code.h"
#include "output.h"

#include <string>
#include <vector>

namespace trefoil {

/// Runs the tool with the arguments that follow the program name. Exceptions of the types in
/// tool_errors.h and of invalid bundles are reported and turned into the matching exit status.
exit_code run_tool(const std::vector<std::string>& arguments, const output& to);

} // namespace trefoil
