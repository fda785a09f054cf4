#include "check_rules.h"
#include "objects/name_rule.h"

#include <algorithm>
#include <map>
#include <utility>

namespace trefoil {

namespace {

template<class Object>
void check_list(const std::string& type, const std::vector<Object>& objects,
                const std::vector<object_location>& locations, problem_list& problems)
{
    std::map<std::string, object_location> first_uses;
    for (std::size_t i = 0; i < objects.size(); ++i) {
        const auto& at = location_at(locations, i);
        const auto& name = objects[i].name.str();
        if (at.is_invalid("name")) {
            continue;
        }
        std::string label = type;
        label.append(1, ' ').append(name);
        if (!is_valid_name(name)) {
            problems.add(at, "name", label, "the name cannot be used in a request header",
                         "use 1 to " + std::to_string(max_name_length) +
                             " letters a-z, digits, '_', '-' or '.', starting with a letter or "
                             "digit");
        }
        const auto [first, is_new] = first_uses.emplace(name, at);
        if (!is_new) {
            problems.add(at, "name", label,
                         "the name is already used at " + first->second.file + ':' +
                             std::to_string(first->second.line_of("name")),
                         "rename or remove one of the two objects");
        }
    }
}

void check_calls(const load_result& loaded, problem_list& problems)
{
    std::map<std::pair<service_name, service_name>, object_location> first_uses;
    const auto& calls = loaded.objects.calls;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto& at = location_at(loaded.locations.calls, i);
        if (at.is_invalid("from") || at.is_invalid("to")) {
            continue;
        }
        const auto label = "call " + calls[i].from.str() + "->" + calls[i].to.str();
        const auto [first, is_new] = first_uses.emplace(std::pair(calls[i].from, calls[i].to), at);
        if (!is_new) {
            problems.add(at, "from", label,
                         "the same call is already defined at " + first->second.file + ':' +
                             std::to_string(first->second.line),
                         "merge the kinds of both into one call");
        }
        auto kinds = calls[i].kinds;
        std::ranges::sort(kinds);
        if (const auto twice = std::ranges::adjacent_find(kinds); twice != kinds.end()) {
            problems.add(at, "kinds", label, "kind '" + twice->str() + "' is listed twice",
                         "list each kind once");
        }
    }
}

} // namespace

void check_names(const load_result& loaded, problem_list& problems)
{
    const auto& [groups, ranks, kinds, services, calls] = loaded.objects;
    check_list("group", groups, loaded.locations.groups, problems);
    check_list("rank", ranks, loaded.locations.ranks, problems);
    check_list("kind", kinds, loaded.locations.kinds, problems);
    check_list("service", services, loaded.locations.services, problems);
    check_calls(loaded, problems);
}

} // namespace trefoil
