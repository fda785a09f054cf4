#pragma once

#include "objects/object_set.h"

#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// A field with its value in TOML syntax.
struct object_field {
    std::string name;
    std::string value;

    friend bool operator==(const object_field&, const object_field&) = default;
};

/// An object in serialized form.
struct object_text {
    std::string type;
    std::string name;
    std::vector<object_field> fields;
};

/// Quotes and escapes a text as a TOML basic string.
std::string toml_string(std::string_view text);

/// Serializes all objects in canonical order, with the types in the order group, rank, kind,
/// service, call. Equal values give equal texts, which the digest of a bundle depends on.
std::vector<object_text> canonical_objects(const object_set& objects);

} // namespace trefoil
