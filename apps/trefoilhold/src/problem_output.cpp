#include "problem_output.h"

#include <cpprest/json.h>

namespace trefoil {

void write_problems(const std::vector<problem>& problems, bool json, const output& to)
{
    if (!json) {
        for (const auto& p : problems) {
            to.err << describe(p) << '\n';
        }
        return;
    }
    auto list = web::json::value::array(problems.size());
    for (std::size_t i = 0; i < problems.size(); ++i) {
        const auto& p = problems[i];
        auto& entry = list[i];
        entry["severity"] = web::json::value(p.level == severity::error ? "error" : "warning");
        entry["file"] = web::json::value(p.file);
        entry["line"] = web::json::value(p.line);
        entry["object"] = web::json::value(p.object);
        entry["message"] = web::json::value(p.message);
        entry["remedy"] = web::json::value(p.remedy);
    }
    auto root = web::json::value::object();
    root["ok"] = web::json::value(!has_errors(problems));
    root["problems"] = list;
    to.out << root.serialize() << '\n';
}

} // namespace trefoil
