#include "command.h"
#include "new_file.h"
#include "object_files.h"
#include "objects/check_objects.h"
#include "objects/diff_objects.h"
#include "problem_output.h"
#include "tool_errors.h"

#include <cpprest/json.h>

namespace trefoil {

namespace {

void write_result(const bundle& b, const std::string& file, std::size_t bytes, bool json,
                  std::ostream& out)
{
    if (!json) {
        out << "wrote " << file << ": bundle " << to_string(b.id()) << ", base "
            << to_string(b.base) << ", " << bytes << " bytes\n";
        return;
    }
    auto root = web::json::value::object();
    root["file"] = web::json::value(file);
    root["version"] = web::json::value(b.version.value);
    root["digest"] = web::json::value(b.digest.str());
    root["id"] = web::json::value(to_string(b.id()));
    root["base"] = web::json::value(to_string(b.base));
    root["bytes"] = web::json::value(static_cast<std::uint64_t>(bytes));
    out << root.serialize() << '\n';
}

exit_code run_build(const command_line& line, const output& to)
{
    const bool json = line.has("json");
    const auto& out_file = line.value("out");
    const auto base = load_published(line.value("base"));
    if (line.has("expect-base")) {
        const auto expected = parse_bundle_id(line.value("expect-base"));
        if (expected != base.id()) {
            throw stale_base(to_string(expected), to_string(base.id()));
        }
    }
    const auto loaded = load_files(line.operands());
    const auto problems = check_objects(loaded);
    if (has_errors(problems)) {
        write_problems(problems, json, to);
        return exit_code::invalid_objects;
    }
    // Warnings go to stderr also with --json, so that stdout holds a single JSON document.
    write_problems(problems, false, to);
    if (diff_objects(base.objects, loaded.objects).empty()) {
        to.err << "trefoilhold: warning: the bundle has the same objects as its base\n";
    }
    const auto built = build_bundle(loaded.objects, base.id());
    const auto text = to_toml(built);
    write_new_file(out_file, text);
    write_result(built, out_file, text.size(), json, to.out);
    return exit_code::success;
}

} // namespace

command build_command()
{
    command c;
    c.name = "build";
    c.operands = "FILES...";
    c.help = "Check the objects in FILES and write the bundle that follows the published one.";
    c.options = {
        {"base", "PUBLISHED", "the published bundle, or 'none' for the first one (required)"},
        {"out", "FILE", "the file to write; must not exist (required)"},
        {"expect-base", "VERSION:DIGEST", "refuse if PUBLISHED is another bundle"},
    };
    c.run = run_build;
    return c;
}

} // namespace trefoil
