#pragma once

#include "objects/object_set.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

enum class change_type : std::uint8_t { added, removed, changed };

/// A field whose value differs; values are in TOML form, empty where the field is absent.
struct field_change {
    std::string field;
    std::string before;
    std::string after;
};

/// One object that differs between two sets.
struct object_change {
    change_type type = change_type::changed;
    /// `group`, `rank`, `kind`, `service` or `call`.
    std::string object_type;
    /// Name of the object; `from->to` for a call.
    std::string name;
    /// All fields of an added or removed object, the differing ones of a changed object.
    std::vector<field_change> fields;
};

/// What changes from `before` to `after`, ordered by object type and name. The order of objects
/// within the sets has no effect.
std::vector<object_change> diff_objects(const object_set& before, const object_set& after);

/// `added`, `removed` or `changed`.
std::string to_string(change_type type);

/// One line, for example `changed kind confirm_order: deadline_ms 2000 -> 3000`.
std::string describe(const object_change& change);

} // namespace trefoil
