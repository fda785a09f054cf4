#include "objects/load_objects.h"

#include "table_reader.h"
#include "toml_text.h"

#include <algorithm>
#include <array>
#include <utility>

namespace trefoil {

namespace {

constexpr std::array<std::string_view, 5> object_types = {"group", "rank", "kind", "service",
                                                          "call"};

/// Reports top-level keys that are neither an array of tables of a known object type nor the
/// `[bundle]` table.
void check_top_level(const toml::table& root, const std::string& file,
                     std::vector<problem>& problems)
{
    for (const auto& [key, node] : root) {
        const auto line = key.source().begin.line;
        const std::string name(key.str());
        if (name == "bundle") {
            continue;
        }
        if (std::ranges::find(object_types, name) == object_types.end()) {
            problems.push_back({file, line, name, "unknown table or key '" + name + "'",
                                "use [[group]], [[rank]], [[kind]], [[service]] or [[call]]"});
        }
        else if (!node.is_array_of_tables()) {
            problems.push_back({file, line, name, "'" + name + "' is not an array of tables",
                                "write [[" + name + "]] above the fields of each object"});
        }
    }
}

std::string label_of(const toml::table& table, const std::string& type)
{
    if (type == "call") {
        return type + ' ' + table["from"].value_or(std::string("?")) + "->" +
               table["to"].value_or(std::string("?"));
    }
    return type + ' ' + table["name"].value_or(std::string("?"));
}

template<class Object, class Read>
void read_each(const toml::table& root, const std::string& type, const std::string& file,
               std::vector<problem>& problems, std::vector<Object>& objects,
               std::vector<object_location>& locations, Read read)
{
    const toml::array* tables = root[type].as_array();
    if (tables == nullptr) {
        return;
    }
    for (const auto& node : *tables) {
        if (const auto* table = node.as_table()) {
            table_reader reader(*table, label_of(*table, type), file, problems);
            objects.push_back(read(reader));
            locations.push_back(reader.finish());
        }
    }
}

group read_group(table_reader& r)
{
    group g{group_name(r.read_string("name"))};
    g.share = r.read_number("share");
    return g;
}

rank read_rank(table_reader& r)
{
    rank result{rank_name(r.read_string("name"))};
    result.order = static_cast<int>(r.read_integer("order", order_range));
    result.share = r.read_number("share");
    return result;
}

kind read_kind(table_reader& r)
{
    kind k;
    k.name = kind_name(r.read_string("name"));
    k.rank = rank_name(r.read_string("rank"));
    k.entry = service_name(r.read_string("entry"));
    k.once_only = r.read_boolean("once_only");
    k.repeatable = r.read_boolean("repeatable");
    k.deadline = std::chrono::milliseconds(r.read_integer("deadline_ms", any_integer));
    k.retries = static_cast<std::uint32_t>(r.read_integer("retries", retries_range, true));
    return k;
}

service read_service(table_reader& r)
{
    service s{service_name(r.read_string("name"))};
    s.slots = static_cast<std::uint32_t>(r.read_integer("slots", slots_range));
    s.connections = static_cast<std::uint32_t>(r.read_integer("connections", connections_range));
    return s;
}

call_edge read_call(table_reader& r)
{
    call_edge edge{service_name(r.read_string("from")), service_name(r.read_string("to")), {}};
    for (auto& name : r.read_string_list("kinds")) {
        edge.kinds.emplace_back(std::move(name));
    }
    return edge;
}

} // namespace

void read_objects(const toml::table& root, const std::string& file, load_result& result)
{
    auto& [objects, problems, locations, bytes, incomplete] = result;
    check_top_level(root, file, problems);
    read_each(root, "group", file, problems, objects.groups, locations.groups, read_group);
    read_each(root, "rank", file, problems, objects.ranks, locations.ranks, read_rank);
    read_each(root, "kind", file, problems, objects.kinds, locations.kinds, read_kind);
    read_each(root, "service", file, problems, objects.services, locations.services, read_service);
    read_each(root, "call", file, problems, objects.calls, locations.calls, read_call);
}

void load_objects(std::string_view toml_text, const std::string& file, load_result& result)
{
    if (const auto root = parse_toml(toml_text, file, result)) {
        read_objects(*root, file, result);
    }
}

} // namespace trefoil
