#pragma once

#include "objects/object_set.h"

#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// One field with its value in TOML form.
struct object_field {
    std::string name;
    std::string value;

    friend bool operator==(const object_field&, const object_field&) = default;
};

/// One object as its type, name and fields.
struct object_text {
    std::string type;
    std::string name;
    std::vector<object_field> fields;
};

/// A TOML basic string.
std::string toml_string(std::string_view text);

/// All objects in canonical order, types in the order group, rank, kind, service, call. Equal
/// values give equal texts.
std::vector<object_text> canonical_objects(const object_set& objects);

} // namespace trefoil
