#pragma once

#include "objects/object_set.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

enum class change_type : std::uint8_t { added, removed, changed };

/// A field whose value differs. Values are in TOML syntax, and empty where the field is absent.
struct field_change {
    std::string field;
    std::string before;
    std::string after;
};

/// One object that differs between two sets.
struct object_change {
    change_type type = change_type::changed;
    /// One of `group`, `rank`, `kind`, `service` and `call`.
    std::string object_type;
    /// Name of the object, or `from->to` for a call.
    std::string name;
    /// All fields of an added or removed object; only the differing fields of a changed object.
    std::vector<field_change> fields;
};

/// Returns the differences from `before` to `after`, ordered by object type and name. The order of
/// objects within the sets is ignored.
std::vector<object_change> diff_objects(const object_set& before, const object_set& after);

/// Returns `added`, `removed` or `changed`.
std::string to_string(change_type type);

/// Formats a change as one line, for example `changed kind confirm_order: deadline_ms 2000 ->
/// 3000`.
std::string describe(const object_change& change);

} // namespace trefoil
