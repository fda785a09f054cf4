#include "objects/load_objects.h"

#include <toml++/toml.h>

#include <utility>

namespace trefoil {

namespace {

/// Reads the fields of one TOML table and records problems about them.
class table_reader {
public:
    table_reader(const toml::table& table, std::string object, const std::string& file,
                 std::vector<problem>& problems)
        : table_(table), object_(std::move(object)), file_(file), problems_(problems)
    {
    }

    std::string text(const char* key) const { return value<std::string>(key, ""); }
    double number(const char* key, double fallback) const { return value<double>(key, fallback); }
    bool flag(const char* key) const { return value<bool>(key, false); }

    std::int64_t integer(const char* key, std::int64_t fallback) const
    {
        return value<std::int64_t>(key, fallback);
    }

private:
    template<class Value>
    Value value(const char* key, Value fallback) const
    {
        const toml::node* node = table_.get(key);
        if (node == nullptr) {
            return fallback;
        }
        if (const auto found = node->value<Value>()) {
            return *found;
        }
        problems_.push_back({file_, node->source().begin.line, object_,
                             std::string("field '") + key + "' has the wrong type",
                             "use the type that the operators' guide gives for this field"});
        return fallback;
    }

    const toml::table& table_;
    std::string object_;
    const std::string& file_;
    std::vector<problem>& problems_;
};

template<class Read>
void for_each_table(const toml::table& root, const char* key, const std::string& file,
                    std::vector<problem>& problems, Read read)
{
    const toml::array* tables = root[key].as_array();
    if (tables == nullptr) {
        return;
    }
    for (const auto& node : *tables) {
        if (const auto* table = node.as_table()) {
            const auto name = (*table)["name"].value_or(std::string("?"));
            read(table_reader(*table, std::string(key) + " " + name, file, problems), *table);
        }
    }
}

} // namespace

void load_objects(std::string_view toml_text, const std::string& file, load_result& result)
{
    toml::table root;
    try {
        root = toml::parse(toml_text, file);
    }
    catch (const toml::parse_error& e) {
        result.problems.push_back({file, e.source().begin.line, "file",
                                   std::string(e.description()), "write valid TOML"});
        return;
    }
    auto& problems = result.problems;
    auto& objects = result.objects;
    for_each_table(root, "group", file, problems, [&](const table_reader& r, const toml::table&) {
        objects.groups.push_back({group_name(r.text("name")), r.number("share", 1.0)});
    });
    for_each_table(root, "rank", file, problems, [&](const table_reader& r, const toml::table&) {
        objects.ranks.push_back({rank_name(r.text("name")), static_cast<int>(r.integer("order", 0)),
                                 r.number("share", 0.0)});
    });
    for_each_table(root, "kind", file, problems, [&](const table_reader& r, const toml::table&) {
        objects.kinds.push_back({kind_name(r.text("name")), rank_name(r.text("rank")),
                                 service_name(r.text("entry")), r.flag("once_only"),
                                 r.flag("repeatable"),
                                 std::chrono::milliseconds(r.integer("deadline_ms", 2000)),
                                 static_cast<std::uint32_t>(r.integer("retries", 0))});
    });
    for_each_table(root, "service", file, problems, [&](const table_reader& r, const toml::table&) {
        objects.services.push_back({service_name(r.text("name")),
                                    static_cast<std::uint32_t>(r.integer("slots", 1)),
                                    static_cast<std::uint32_t>(r.integer("connections", 1))});
    });
    for_each_table(root, "call", file, problems,
                   [&](const table_reader& r, const toml::table& table) {
                       call_edge edge{service_name(r.text("from")), service_name(r.text("to")), {}};
                       if (const auto* kinds = table["kinds"].as_array()) {
                           for (const auto& name : *kinds) {
                               edge.kinds.emplace_back(name.value_or(std::string()));
                           }
                       }
                       objects.calls.push_back(std::move(edge));
                   });
}

} // namespace trefoil
