#include "call_graph.h"
#include "check_rules.h"

#include <map>
#include <set>

namespace trefoil {

namespace {

template<class Name, class Object>
std::set<Name> names_of(const std::vector<Object>& objects)
{
    std::set<Name> names;
    for (const auto& object : objects) {
        names.insert(object.name);
    }
    return names;
}

/// Reports a field that refers to an object of the given type that does not exist.
template<class Name>
void check_reference(const Name& name, const std::set<Name>& known, const std::string& type,
                     std::string_view field, const object_location& at, const std::string& label,
                     problem_list& problems)
{
    if (!at.is_invalid(field) && !known.contains(name)) {
        problems.add(at, field, label,
                     "field '" + std::string(field) + "' names the unknown " + type + " '" +
                         name.str() + "'",
                     "correct the name or add a [[" + type + "]] of this name");
    }
}

void check_dangling_references(const load_result& loaded, problem_list& problems)
{
    const auto& objects = loaded.objects;
    const auto ranks = names_of<rank_name>(objects.ranks);
    const auto kinds = names_of<kind_name>(objects.kinds);
    const auto services = names_of<service_name>(objects.services);
    for (std::size_t i = 0; i < objects.kinds.size(); ++i) {
        const auto& k = objects.kinds[i];
        const auto& at = location_at(loaded.locations.kinds, i);
        const auto label = "kind " + k.name.str();
        check_reference(k.rank, ranks, "rank", "rank", at, label, problems);
        check_reference(k.entry, services, "service", "entry", at, label, problems);
    }
    for (std::size_t i = 0; i < objects.calls.size(); ++i) {
        const auto& edge = objects.calls[i];
        const auto& at = location_at(loaded.locations.calls, i);
        const auto label = "call " + edge.from.str() + "->" + edge.to.str();
        check_reference(edge.from, services, "service", "from", at, label, problems);
        check_reference(edge.to, services, "service", "to", at, label, problems);
        for (const auto& name : edge.kinds) {
            check_reference(name, kinds, "kind", "kinds", at, label, problems);
        }
    }
}

/// Reports at most one cycle, at the location of the call that closes it.
void check_cycle(const load_result& loaded, const call_graph& graph, problem_list& problems)
{
    const auto cycle = graph.find_cycle();
    if (cycle.empty()) {
        return;
    }
    std::string text;
    for (const auto& name : cycle) {
        text += (text.empty() ? "" : " -> ") + name.str();
    }
    const auto& calls = loaded.objects.calls;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        if (calls[i].from == cycle[cycle.size() - 2] && calls[i].to == cycle.back()) {
            problems.add(location_at(loaded.locations.calls, i), "from",
                         "call " + calls[i].from.str() + "->" + calls[i].to.str(),
                         "the call graph has the cycle " + text,
                         "remove one of its calls; a request must not return to a service");
            return;
        }
    }
}

/// Reports kinds that a call lists although requests of these kinds never reach the calling
/// service.
void check_kind_reachability(const load_result& loaded, const call_graph& graph,
                             problem_list& problems)
{
    std::map<kind_name, std::set<service_name>> reached;
    for (const auto& k : loaded.objects.kinds) {
        reached.emplace(k.name, graph.reachable_services(k));
    }
    const auto& calls = loaded.objects.calls;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto& at = location_at(loaded.locations.calls, i);
        for (const auto& name : calls[i].kinds) {
            const auto it = reached.find(name);
            if (it != reached.end() && !at.is_invalid("from") &&
                !it->second.contains(calls[i].from)) {
                problems.add(at, "kinds", "call " + calls[i].from.str() + "->" + calls[i].to.str(),
                             "kind '" + name.str() + "' never reaches service '" +
                                 calls[i].from.str() + "'",
                             "remove the kind from this call, or add the calls that lead to "
                             "this service from the kind's entry");
            }
        }
    }
}

} // namespace

void check_references(const load_result& loaded, problem_list& problems)
{
    check_dangling_references(loaded, problems);
    const call_graph graph(loaded.objects.calls);
    check_cycle(loaded, graph, problems);
    check_kind_reachability(loaded, graph, problems);
}

} // namespace trefoil
