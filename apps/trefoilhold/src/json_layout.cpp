#include "json_layout.h"

#include <algorithm>

namespace trefoil {

namespace {

using web::json::value;

constexpr std::size_t indent_step = 2;

bool is_scalar(const value& v)
{
    return !v.is_object() && !v.is_array();
}

/// Whether there are elements and all are objects, so that they can be shown as table rows.
template<class Elements, class Get>
bool are_objects(const Elements& elements, Get get)
{
    return elements.size() > 0 && std::all_of(elements.begin(), elements.end(),
                                              [&](const auto& e) { return get(e).is_object(); });
}

std::size_t find_or_add_column(text_table& table, const std::string& name, std::size_t first)
{
    const auto it = std::find(table.header.begin() + static_cast<std::ptrdiff_t>(first),
                              table.header.end(), name);
    if (it == table.header.end()) {
        table.header.push_back(name);
        return table.header.size() - 1;
    }
    return static_cast<std::size_t>(it - table.header.begin());
}

/// Adds a row with the members of an object; the first `first` columns of `row` are already set.
void add_row(text_table& table, std::vector<std::string> row, std::size_t first,
             const value& object)
{
    for (const auto& [name, member] : object.as_object()) {
        const auto column = find_or_add_column(table, name, first);
        row.resize(std::max(row.size(), column + 1));
        row[column] = cell_text(member);
    }
    table.rows.push_back(std::move(row));
}

std::string layout_array(const std::string& name, const value& array, std::size_t indent)
{
    const auto& elements = array.as_array();
    const std::string margin(indent, ' ');
    if (are_objects(elements, [](const value& v) { return v; })) {
        text_table table;
        for (const auto& element : elements) {
            add_row(table, {}, 0, element);
        }
        return margin + name + ":\n" + to_text(table, indent + indent_step);
    }
    std::string text;
    for (const auto& element : elements) {
        text += (text.empty() ? "" : ", ") + cell_text(element);
    }
    return margin + name + ": " + (text.empty() ? "(none)" : text) + '\n';
}

std::string layout_members(const value& object, std::size_t indent);

std::string layout_object(const std::string& name, const value& object, std::size_t indent)
{
    const auto& members = object.as_object();
    const std::string margin(indent, ' ');
    if (members.empty()) {
        return margin + name + ": (none)\n";
    }
    if (are_objects(members, [](const auto& member) { return member.second; })) {
        text_table table{{"name"}, {}};
        for (const auto& [key, member] : members) {
            add_row(table, {cell_text(value(key))}, 1, member);
        }
        return margin + name + ":\n" + to_text(table, indent + indent_step);
    }
    return margin + name + ":\n" + layout_members(object, indent + indent_step);
}

std::string layout_members(const value& object, std::size_t indent)
{
    text_table scalars;
    std::string sections;
    for (const auto& [name, member] : object.as_object()) {
        const auto label = cell_text(value(name));
        if (is_scalar(member)) {
            scalars.rows.push_back({label, cell_text(member)});
        }
        else {
            sections += member.is_array() ? layout_array(label, member, indent)
                                          : layout_object(label, member, indent);
        }
    }
    return to_text(scalars, indent) + sections;
}

void flatten_into(const std::string& prefix, const value& object,
                  std::vector<std::pair<std::string, std::string>>& fields)
{
    for (const auto& [name, member] : object.as_object()) {
        std::string path = prefix;
        path.append(prefix.empty() ? "" : ".").append(name);
        if (member.is_object()) {
            flatten_into(path, member, fields);
        }
        else if (!member.is_array()) {
            fields.emplace_back(path, cell_text(member));
        }
    }
}

std::string format_row(const std::vector<std::string>& cells,
                       const std::vector<std::size_t>& widths, std::size_t indent)
{
    std::string line(indent, ' ');
    for (std::size_t i = 0; i < widths.size(); ++i) {
        const auto cell = i < cells.size() ? cells[i] : std::string();
        line += cell + std::string(widths[i] - cell.size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + '\n';
}

} // namespace

std::string to_text(const text_table& table, std::size_t indent)
{
    std::vector<std::size_t> widths;
    const auto widen = [&](const std::vector<std::string>& cells) {
        widths.resize(std::max(widths.size(), cells.size()));
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    };
    widen(table.header);
    std::for_each(table.rows.begin(), table.rows.end(), widen);
    std::string text;
    if (!table.header.empty()) {
        text += format_row(table.header, widths, indent);
    }
    for (const auto& row : table.rows) {
        text += format_row(row, widths, indent);
    }
    return text;
}

std::string cell_text(const value& v)
{
    auto text = v.is_string() ? v.as_string() : v.serialize();
    // Strings of a node may originate from callers, so control characters, which could inject
    // escape sequences into the operator's terminal, are replaced.
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    return text;
}

std::vector<std::pair<std::string, std::string>> flatten(const value& object)
{
    std::vector<std::pair<std::string, std::string>> fields;
    flatten_into("", object, fields);
    return fields;
}

std::string layout(const value& object)
{
    return layout_members(object, 0);
}

} // namespace trefoil
