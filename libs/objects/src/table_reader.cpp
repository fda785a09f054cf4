#include "table_reader.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

std::string quote_field(std::string_view field)
{
    return "field '" + std::string(field) + "'";
}

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

} // namespace

table_reader::table_reader(const toml::table& table, std::string object, const std::string& file,
                           std::vector<problem>& problems)
    : table_(table), object_(std::move(object)), problems_(problems)
{
    location_.file = file;
    location_.line = table.source().begin.line;
    for (const auto& [key, node] : table) {
        location_.field_lines.emplace(std::string(key.str()), key.source().begin.line);
    }
}

std::string table_reader::read_string(std::string_view field)
{
    const auto* node = find(field, false);
    if (node == nullptr) {
        return {};
    }
    if (!node->is_string()) {
        add_problem(field, quote_field(field) + " is not a string", "enclose it in double quotes");
        return {};
    }
    return node->value_or(std::string());
}

double table_reader::read_number(std::string_view field)
{
    const auto* node = find(field, false);
    if (node == nullptr) {
        return 1.0;
    }
    if (!node->is_number()) {
        add_problem(field, quote_field(field) + " is not a number",
                    "write a number, for example 2.5");
        return 1.0;
    }
    return node->value_or(1.0);
}

std::int64_t table_reader::read_integer(std::string_view field, integer_range range, bool optional)
{
    const auto* node = find(field, optional);
    if (node == nullptr) {
        return range.min;
    }
    if (!node->is_integer()) {
        add_problem(field, quote_field(field) + " is not an integer",
                    "write an integer without a decimal point or quotes");
        return range.min;
    }
    const auto value = node->value_or(range.min);
    if (!range.contains(value)) {
        add_problem(field, quote_field(field) + " is " + std::to_string(value) + ", out of range",
                    "use a value from " + std::to_string(range.min) + " to " +
                        std::to_string(range.max));
        return range.min;
    }
    return value;
}

bool table_reader::read_boolean(std::string_view field)
{
    const auto* node = find(field, true);
    if (node == nullptr) {
        return false;
    }
    if (!node->is_boolean()) {
        add_problem(field, quote_field(field) + " is not a boolean", "write true or false");
        return false;
    }
    return node->value_or(false);
}

std::vector<std::string> table_reader::read_string_list(std::string_view field)
{
    const auto* node = find(field, true);
    if (node == nullptr) {
        return {};
    }
    const auto* array = node->as_array();
    if (array == nullptr || array->empty()) {
        add_problem(field, quote_field(field) + " is not a non-empty array of names",
                    "write a list such as [\"one\", \"two\"], or remove the field to include all");
        return {};
    }
    std::vector<std::string> found;
    for (const auto& element : *array) {
        if (!element.is_string()) {
            add_problem(field, quote_field(field) + " contains an element that is not a string",
                        "enclose each name in double quotes");
            continue;
        }
        found.push_back(element.value_or(std::string()));
    }
    return found;
}

object_location table_reader::finish()
{
    for (const auto& [key, line] : location_.field_lines) {
        if (std::ranges::find(known_fields_, key) == known_fields_.end()) {
            problems_.push_back({location_.file, line, object_, "unknown key '" + key + "'",
                                 "remove it or use one of: " + join(known_fields_)});
        }
    }
    return std::move(location_);
}

const toml::node* table_reader::find(std::string_view field, bool optional)
{
    known_fields_.emplace_back(field);
    const auto* node = table_.get(field);
    if (node == nullptr && !optional) {
        add_problem(field, quote_field(field) + " is missing", "add it to this object");
    }
    return node;
}

void table_reader::add_problem(std::string_view field, std::string message, std::string remedy)
{
    location_.invalid_fields.emplace(field);
    problems_.push_back(
        {location_.file, location_.line_of(field), object_, std::move(message), std::move(remedy)});
}

} // namespace trefoil
