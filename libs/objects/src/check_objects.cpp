#include "objects/check_objects.h"

#include "check_rules.h"

#include <algorithm>
#include <tuple>

namespace trefoil {

namespace {

void check_set(const load_result& loaded, problem_list& problems)
{
    const auto require = [&](bool present, const std::string& type) {
        if (!present) {
            problems.add_to_set("there is no " + type, "add at least one [[" + type + "]]");
        }
    };
    require(!loaded.objects.groups.empty(), "group");
    require(!loaded.objects.ranks.empty(), "rank");
    require(!loaded.objects.kinds.empty(), "kind");
    require(!loaded.objects.services.empty(), "service");
}

} // namespace

std::vector<problem> check_objects(const load_result& loaded)
{
    problem_list problems(loaded.problems);
    if (loaded.bytes > max_set_bytes) {
        problems.add_to_set("the set has " + std::to_string(loaded.bytes) + " bytes, above " +
                                std::to_string(max_set_bytes),
                            "remove objects that are no longer used");
    }
    if (!loaded.incomplete) {
        check_set(loaded, problems);
        check_names(loaded, problems);
        check_values(loaded, problems);
        check_references(loaded, problems);
    }
    auto found = problems.take();
    std::ranges::stable_sort(found, {}, [](const problem& p) { return std::tie(p.file, p.line); });
    return found;
}

} // namespace trefoil
