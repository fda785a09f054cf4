#include "command.h"
#include "object_files.h"
#include "objects/check_objects.h"
#include "objects/diff_objects.h"
#include "problem_output.h"

#include <cpprest/json.h>

namespace trefoil {

namespace {

web::json::value to_json(const object_change& change)
{
    auto fields = web::json::value::array(change.fields.size());
    for (std::size_t i = 0; i < change.fields.size(); ++i) {
        fields[i]["field"] = web::json::value(change.fields[i].field);
        fields[i]["before"] = web::json::value(change.fields[i].before);
        fields[i]["after"] = web::json::value(change.fields[i].after);
    }
    auto value = web::json::value::object();
    value["change"] = web::json::value(to_string(change.type));
    value["type"] = web::json::value(change.object_type);
    value["name"] = web::json::value(change.name);
    value["fields"] = fields;
    return value;
}

void write_changes(const bundle& published, const std::vector<object_change>& changes, bool json,
                   std::ostream& out)
{
    if (!json) {
        for (const auto& change : changes) {
            out << describe(change) << '\n';
        }
        return;
    }
    auto list = web::json::value::array(changes.size());
    for (std::size_t i = 0; i < changes.size(); ++i) {
        list[i] = to_json(changes[i]);
    }
    auto root = web::json::value::object();
    root["published"] = web::json::value(to_string(published.id()));
    root["changes"] = list;
    out << root.serialize() << '\n';
}

exit_code run_diff(const command_line& line, const output& to)
{
    const bool json = line.has("json");
    const auto published = load_published(line.operands().front());
    const auto loaded = load_files({line.operands().begin() + 1, line.operands().end()});
    const auto problems = check_objects(loaded);
    if (has_errors(problems)) {
        write_problems(problems, json, to);
        return exit_code::invalid_objects;
    }
    const auto changes = diff_objects(published.objects, loaded.objects);
    write_changes(published, changes, json, to.out);
    return changes.empty() ? exit_code::success : exit_code::differences;
}

} // namespace

command diff_command()
{
    command c;
    c.name = "diff";
    c.operands = "PUBLISHED FILES...";
    c.help = "Show what changes from a published bundle to the objects in FILES.";
    c.min_operands = 2;
    c.run = run_diff;
    return c;
}

} // namespace trefoil
