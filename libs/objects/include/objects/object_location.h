#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Position of an object in its source file.
struct object_location {
    std::string file;
    /// 1-based line of the object's table; 0 if the object was not read from text.
    std::uint32_t line = 0;
    /// 1-based line of each field that is present.
    std::map<std::string, std::uint32_t, std::less<>> field_lines;
    /// Fields that were already reported as missing or malformed. Later checks skip them.
    std::set<std::string, std::less<>> invalid_fields;

    /// Returns the line of the field, or of the object if the field is absent.
    std::uint32_t line_of(std::string_view field) const;
    bool is_invalid(std::string_view field) const { return invalid_fields.contains(field); }
};

/// Locations of the objects of a set. Each list is parallel to the list of the same name in
/// object_set.
struct object_locations {
    std::vector<object_location> groups;
    std::vector<object_location> ranks;
    std::vector<object_location> kinds;
    std::vector<object_location> services;
    std::vector<object_location> calls;
};

} // namespace trefoil
