#include "objects/diff_objects.h"

#include "object_fields.h"

#include <map>
#include <utility>

namespace trefoil {

namespace {

using object_key = std::pair<std::string, std::string>;
using object_index = std::map<object_key, std::vector<object_field>>;

object_index index_of(const object_set& objects)
{
    object_index index;
    for (auto& text : canonical_objects(objects)) {
        index[{text.type, text.name}] = std::move(text.fields);
    }
    return index;
}

std::string value_of(const std::vector<object_field>& fields, const std::string& name)
{
    for (const auto& field : fields) {
        if (field.name == name) {
            return field.value;
        }
    }
    return {};
}

/// Returns the differing fields: those of `after` first, then those that only `before` has.
std::vector<field_change> diff_fields(const std::vector<object_field>& before,
                                      const std::vector<object_field>& after)
{
    std::vector<field_change> changes;
    for (const auto& field : after) {
        auto old_value = value_of(before, field.name);
        if (old_value != field.value) {
            changes.push_back({field.name, std::move(old_value), field.value});
        }
    }
    for (const auto& field : before) {
        if (value_of(after, field.name).empty()) {
            changes.push_back({field.name, field.value, {}});
        }
    }
    return changes;
}

} // namespace

std::vector<object_change> diff_objects(const object_set& before, const object_set& after)
{
    const auto old_index = index_of(before);
    const auto new_index = index_of(after);
    std::map<object_key, object_change> changes;
    for (const auto& [key, fields] : old_index) {
        if (!new_index.contains(key)) {
            changes[key] = {change_type::removed, key.first, key.second, diff_fields(fields, {})};
        }
    }
    for (const auto& [key, fields] : new_index) {
        const auto it = old_index.find(key);
        if (it == old_index.end()) {
            changes[key] = {change_type::added, key.first, key.second, diff_fields({}, fields)};
        }
        else if (it->second != fields) {
            changes[key] = {change_type::changed, key.first, key.second,
                            diff_fields(it->second, fields)};
        }
    }
    std::vector<object_change> ordered;
    ordered.reserve(changes.size());
    for (auto& [key, change] : changes) {
        ordered.push_back(std::move(change));
    }
    return ordered;
}

std::string to_string(change_type type)
{
    switch (type) {
    case change_type::added:
        return "added";
    case change_type::removed:
        return "removed";
    case change_type::changed:
        break;
    }
    return "changed";
}

std::string describe(const object_change& change)
{
    std::string text = to_string(change.type) + ' ' + change.object_type + ' ' + change.name;
    std::string separator = ": ";
    for (const auto& field : change.fields) {
        if (field.field == "name") {
            continue;
        }
        const auto& shown = field.after.empty() ? field.before : field.after;
        text += separator + field.field + ' ';
        if (change.type == change_type::changed) {
            const auto absent = [](const std::string& value) {
                return value.empty() ? std::string("(absent)") : value;
            };
            text += absent(field.before) + " -> " + absent(field.after);
        }
        else {
            text += shown;
        }
        separator = ", ";
    }
    return text;
}

} // namespace trefoil
