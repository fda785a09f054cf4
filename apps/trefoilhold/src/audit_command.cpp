#include "audit_reader.h"
#include "command.h"
#include "node_client.h"
#include "tool_errors.h"

#include <chrono>
#include <thread>

namespace trefoil {

namespace {

constexpr std::chrono::seconds follow_interval{1};

void write_page(const audit_page& page, bool json, const output& to)
{
    if (page.restarted) {
        to.err << "trefoilhold: the node was restarted; its audit trail starts at entry 1 again\n";
    }
    if (page.missed > 0) {
        to.err << "trefoilhold: " << page.missed << " entries were dropped before they were read\n";
    }
    for (const auto& entry : page.entries) {
        to.out << (json ? entry.serialize() : describe_audit_entry(entry)) << '\n';
    }
    to.out << std::flush;
}

/// Polls the node until this process is terminated. Since a node may be restarted meanwhile, a
/// failed request does not end the loop; the same error is printed only once in succession.
[[noreturn]] void follow(const node_client& client, audit_reader reader, bool json,
                         const output& to)
{
    std::string last_failure;
    while (true) {
        bool restarted = false;
        try {
            const auto page = reader.consume(client.get(reader.next_path()).get());
            write_page(page, json, to);
            restarted = page.restarted;
            last_failure.clear();
        }
        catch (const tool_error& e) {
            if (e.what() != last_failure) {
                last_failure = e.what();
                to.err << "trefoilhold: " << last_failure << '\n';
            }
        }
        if (!restarted) {
            std::this_thread::sleep_for(follow_interval);
        }
    }
}

exit_code run_audit(const command_line& line, const output& to)
{
    const node_client client(line.operands().front());
    const bool json = line.has("json");
    audit_reader reader;
    // The first request must succeed, so that a wrong address ends the command with an error.
    write_page(reader.consume(client.get(reader.next_path()).get()), json, to);
    if (line.has("follow")) {
        follow(client, reader, json, to);
    }
    return exit_code::success;
}

} // namespace

command audit_command()
{
    command c;
    c.name = "audit";
    c.operands = "NODE";
    c.help = "Show a node's audit trail, oldest entry first; with --json one object a line.";
    c.options = {{"follow", "", "keep reading new entries until interrupted"}};
    c.max_operands = 1;
    c.run = run_audit;
    return c;
}

} // namespace trefoil
