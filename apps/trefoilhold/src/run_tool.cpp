#include "run_tool.h"

#include "command.h"
#include "objects/bundle.h"
#include "problem_output.h"
#include "tool_errors.h"

#include <algorithm>
#include <iomanip>

namespace trefoil {

namespace {

constexpr const char* exit_codes = "Exit status:\n"
                                   "  0  success\n"
                                   "  1  objects or a bundle did not pass the checks\n"
                                   "  2  wrong command line\n"
                                   "  3  a file cannot be read or written\n"
                                   "  4  the base is not the expected bundle\n"
                                   "  5  the output file exists already\n"
                                   "  6  a node cannot be reached or its answer cannot be read\n"
                                   "  7  diff found differences\n";

std::vector<command> all_commands()
{
    std::vector<command> commands{check_command(),  diff_command(),  build_command(),
                                  status_command(), fleet_command(), audit_command(),
                                  explain_command()};
    for (auto& c : commands) {
        c.options.push_back({"json", "", "write the result as JSON"});
        c.options.push_back({"help", "", "show this text"});
    }
    return commands;
}

void write_help(const std::vector<command>& commands, std::ostream& out)
{
    out << "usage: trefoilhold COMMAND [OPTIONS] [OPERANDS]\n\n"
           "Checks, compares and builds configuration objects, and reads the state and the logs of "
           "nodes.\n\n"
           "Commands:\n";
    for (const auto& c : commands) {
        out << "  " << std::left << std::setw(8) << c.name << c.help << '\n';
    }
    out << "\n'trefoilhold COMMAND --help' describes a command.\n\n" << exit_codes;
}

void write_help(const command& c, std::ostream& out)
{
    out << "usage: trefoilhold " << c.name << " [OPTIONS] " << c.operands << "\n\n"
        << c.help << "\n\nOptions:\n";
    for (const auto& spec : c.options) {
        const auto text = "--" + spec.name + (spec.value_name.empty() ? "" : ' ' + spec.value_name);
        out << "  " << std::left << std::setw(32) << text << spec.help << '\n';
    }
    out << '\n' << exit_codes;
}

exit_code run_command(const command& c, const std::vector<std::string>& arguments, const output& to)
{
    const command_line line(arguments, c.options);
    if (line.has("help")) {
        write_help(c, to.out);
        return exit_code::success;
    }
    const auto count = line.operands().size();
    if (count < c.min_operands || count > c.max_operands) {
        throw usage_error("wrong number of operands; expected " + c.operands);
    }
    return c.run(line, to);
}

exit_code dispatch(const std::vector<std::string>& arguments, const output& to)
{
    const auto commands = all_commands();
    if (arguments.empty()) {
        throw usage_error("no command given; see trefoilhold --help");
    }
    const auto& name = arguments.front();
    if (name == "--help" || name == "-h" || name == "help") {
        write_help(commands, to.out);
        return exit_code::success;
    }
    const auto it = std::ranges::find(commands, name, &command::name);
    if (it == commands.end()) {
        throw usage_error("unknown command '" + name + "'; see trefoilhold --help");
    }
    return run_command(*it, {arguments.begin() + 1, arguments.end()}, to);
}

} // namespace

exit_code run_tool(const std::vector<std::string>& arguments, const output& to)
{
    try {
        return dispatch(arguments, to);
    }
    catch (const tool_error& e) {
        to.err << "trefoilhold: " << e.what() << '\n';
        return e.code();
    }
    catch (const invalid_bundle& e) {
        const bool json = std::ranges::find(arguments, "--json") != arguments.end();
        write_problems(e.problems(), json, to);
        return exit_code::invalid_objects;
    }
    catch (const invalid_bundle_id& e) {
        to.err << "trefoilhold: " << e.what() << '\n';
        return exit_code::usage;
    }
}

} // namespace trefoil
