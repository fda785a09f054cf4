#include "command.h"
#include "object_files.h"
#include "objects/check_objects.h"
#include "problem_output.h"

namespace trefoil {

namespace {

exit_code run_check(const command_line& line, const output& to)
{
    const auto loaded = load_files(line.operands());
    const auto problems = check_objects(loaded);
    write_problems(problems, line.has("json"), to);
    if (has_errors(problems)) {
        return exit_code::invalid_objects;
    }
    if (!line.has("json")) {
        const auto& objects = loaded.objects;
        to.out << "ok: " << objects.groups.size() << " groups, " << objects.ranks.size()
               << " ranks, " << objects.kinds.size() << " kinds, " << objects.services.size()
               << " services, " << objects.calls.size() << " calls\n";
    }
    return exit_code::success;
}

} // namespace

command check_command()
{
    command c;
    c.name = "check";
    c.operands = "FILES...";
    c.help = "Check a whole set of objects and report every problem with its remedy.";
    c.run = run_check;
    return c;
}

} // namespace trefoil
