#include "command.h"
#include "json_layout.h"
#include "node_client.h"
#include "tool_errors.h"

#include <algorithm>
#include <map>
#include <utility>

namespace trefoil {

namespace {

/// Number of concurrent requests: enough to hide the latency of slow nodes without a burst of
/// connections.
constexpr std::size_t max_concurrent_requests = 16;

/// Status of one node, or the error if it could not be read.
struct node_status {
    std::string node;
    web::json::value status;
    std::string failure;
};

node_status await(const node_client& client, const pplx::task<web::json::value>& task)
{
    try {
        return {client.node(), task.get(), {}};
    }
    catch (const tool_error& e) {
        return {client.node(), {}, e.what()};
    }
}

std::vector<node_status> fetch_statuses(const std::vector<std::string>& nodes)
{
    // All addresses are parsed before the first request: an invalid one is a usage error.
    const std::vector<node_client> clients(nodes.begin(), nodes.end());
    std::vector<node_status> answers;
    answers.reserve(clients.size());
    for (std::size_t first = 0; first < clients.size(); first += max_concurrent_requests) {
        const auto last = std::min(first + max_concurrent_requests, clients.size());
        std::vector<pplx::task<web::json::value>> tasks;
        for (std::size_t i = first; i < last; ++i) {
            tasks.push_back(clients[i].get("/status"));
        }
        for (std::size_t i = first; i < last; ++i) {
            answers.push_back(await(clients[i], tasks[i - first]));
        }
    }
    return answers;
}

/// Scalar fields that identify the node, its configuration and its lease; the `status` command
/// shows the rest.
std::vector<std::pair<std::string, std::string>> summary_fields(const web::json::value& status)
{
    std::vector<std::pair<std::string, std::string>> fields;
    const std::vector<std::pair<std::string, std::string>> sections{
        {"node", ""}, {"configuration", ""}, {"lease", "lease."}};
    for (const auto& [section, prefix] : sections) {
        if (!status.has_object_field(section)) {
            continue;
        }
        for (auto& [name, text] : flatten(status.at(section))) {
            fields.emplace_back(prefix + name, std::move(text));
        }
    }
    return fields;
}

std::string configuration_id(const web::json::value& status)
{
    if (!status.has_object_field("configuration")) {
        return "not reported";
    }
    const auto& configuration = status.at("configuration");
    const auto field = [&](const char* name) {
        return configuration.has_field(name) ? cell_text(configuration.at(name)) : std::string("?");
    };
    // A node without a configuration reports version 0; `build --base` calls it `none`.
    const auto version = field("version");
    return version == "0" ? "none" : version + ':' + field("digest");
}

std::map<std::string, std::uint64_t> count_configurations(const std::vector<node_status>& answers)
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto& answer : answers) {
        if (answer.failure.empty()) {
            ++counts[configuration_id(answer.status)];
        }
    }
    return counts;
}

void write_text(const std::vector<node_status>& answers, const output& to)
{
    text_table table{{"address"}, {}};
    for (const auto& answer : answers) {
        if (!answer.failure.empty()) {
            to.err << "trefoilhold: " << answer.failure << '\n';
            continue;
        }
        std::vector<std::string> row{answer.node};
        for (const auto& [name, text] : summary_fields(answer.status)) {
            auto it = std::ranges::find(table.header, name);
            if (it == table.header.end()) {
                it = table.header.insert(it, name);
            }
            const auto column = static_cast<std::size_t>(it - table.header.begin());
            row.resize(std::max(row.size(), column + 1));
            row[column] = text;
        }
        table.rows.push_back(std::move(row));
    }
    to.out << to_text(table);
    for (const auto& [configuration, count] : count_configurations(answers)) {
        to.out << "configuration " << configuration << " on " << count << " of " << answers.size()
               << " nodes\n";
    }
}

void write_json(const std::vector<node_status>& answers, std::ostream& out)
{
    auto nodes = web::json::value::array(answers.size());
    for (std::size_t i = 0; i < answers.size(); ++i) {
        nodes[i]["address"] = web::json::value(answers[i].node);
        if (answers[i].failure.empty()) {
            nodes[i]["status"] = answers[i].status;
        }
        else {
            nodes[i]["error"] = web::json::value(answers[i].failure);
        }
    }
    auto configurations = web::json::value::object();
    for (const auto& [configuration, count] : count_configurations(answers)) {
        configurations[configuration] = web::json::value(count);
    }
    auto root = web::json::value::object();
    root["nodes"] = nodes;
    root["configurations"] = configurations;
    out << root.serialize() << '\n';
}

exit_code run_fleet(const command_line& line, const output& to)
{
    const auto answers = fetch_statuses(line.operands());
    if (line.has("json")) {
        write_json(answers, to.out);
    }
    else {
        write_text(answers, to);
    }
    const bool complete =
        std::ranges::all_of(answers, [](const auto& answer) { return answer.failure.empty(); });
    return complete ? exit_code::success : exit_code::node;
}

} // namespace

command fleet_command()
{
    command c;
    c.name = "fleet";
    c.operands = "NODES...";
    c.help = "Show one line for each node, and how many nodes run each configuration.";
    c.run = run_fleet;
    return c;
}

} // namespace trefoil
