#include "command.h"
#include "json_layout.h"
#include "node_client.h"

namespace trefoil {

namespace {

exit_code run_status(const command_line& line, const output& to)
{
    const auto status = node_client(line.operands().front()).get("/status").get();
    to.out << (line.has("json") ? status.serialize() + '\n' : layout(status));
    return exit_code::success;
}

} // namespace

command status_command()
{
    command c;
    c.name = "status";
    c.operands = "NODE";
    c.help = "Show the state of one node; NODE is the HOST:PORT of its control port.";
    c.max_operands = 1;
    c.run = run_status;
    return c;
}

} // namespace trefoil
