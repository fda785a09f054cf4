#include "command.h"
#include "request_trace.h"
#include "tool_errors.h"

#include <cpprest/json.h>

#include <filesystem>
#include <fstream>

namespace trefoil {

namespace {

/// Length of the prefix `YYYYMMDD ` of a log time.
constexpr std::size_t date_length = 9;

request_trace read_trace(const std::string& id, const std::vector<std::string>& files)
{
    request_trace trace;
    for (const auto& file : files) {
        std::ifstream stream(file);
        if (!stream) {
            throw file_error(file, "cannot be opened");
        }
        const auto process = std::filesystem::path(file).stem().string();
        std::string text;
        while (std::getline(stream, text)) {
            trace.add(id, process, text);
        }
        if (stream.bad()) {
            throw file_error(file, "cannot be read");
        }
    }
    trace.sort();
    return trace;
}

void write_text(const request_trace& trace, std::ostream& out)
{
    for (const auto& entry : trace.entries) {
        out << entry.line.time.substr(date_length) << "  " << entry.process << "  "
            << entry.line.event;
        for (const auto& [key, value] : entry.line.fields) {
            out << ' ' << key << '=' << value;
        }
        out << '\n';
        if (const auto meaning = explain(entry.line); !meaning.empty()) {
            out << "    " << meaning << '\n';
        }
    }
}

void write_json(const request_trace& trace, std::ostream& out)
{
    auto lines = web::json::value::array();
    for (const auto& entry : trace.entries) {
        auto line = web::json::value::object();
        line["time"] = web::json::value::string(entry.line.time);
        line["process"] = web::json::value::string(entry.process);
        line["event"] = web::json::value::string(entry.line.event);
        line["meaning"] = web::json::value::string(explain(entry.line));
        for (const auto& [key, value] : entry.line.fields) {
            line["fields"][key] = web::json::value::string(value);
        }
        lines[lines.size()] = line;
    }
    out << lines.serialize() << '\n';
}

exit_code run_explain(const command_line& line, const output& to)
{
    const auto& id = line.operands().front();
    const std::vector<std::string> files(line.operands().begin() + 1, line.operands().end());
    const auto trace = read_trace(id, files);
    line.has("json") ? write_json(trace, to.out) : write_text(trace, to.out);
    if (trace.entries.empty()) {
        to.err << "trefoilhold: no line of " << id << "; requests that are served have none\n";
    }
    if (trace.dropped > 0) {
        to.err << "trefoilhold: the processes dropped " << trace.dropped
               << " lines to bound their logs; some may have been of this request\n";
    }
    return exit_code::success;
}

} // namespace

command explain_command()
{
    command c;
    c.name = "explain";
    c.operands = "ID LOG...";
    c.help = "Show what the logs of nodes say about a request and its calls, in order of time.";
    c.min_operands = 2;
    c.run = run_explain;
    return c;
}

} // namespace trefoil
