#pragma once

#include "objects/load_objects.h"
#include "value_ranges.h"

#include <toml++/toml.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Reads the fields of one TOML table. Missing, malformed and unknown fields are added to a list of
/// problems.
class table_reader {
public:
    /// `object` identifies the table in problems.
    table_reader(const toml::table& table, std::string object, const std::string& file,
                 std::vector<problem>& problems);

    /// Returns an empty string if the field is absent or not a string; both are problems.
    std::string read_string(std::string_view field);
    /// Returns 1.0 if the field is absent or not a number; both are problems.
    double read_number(std::string_view field);
    /// An absent field is a problem unless `optional` is set. Returns range.min if the value is
    /// absent, not an integer or out of range.
    std::int64_t read_integer(std::string_view field, integer_range range, bool optional = false);
    /// An absent field is read as false.
    bool read_boolean(std::string_view field);
    /// An absent field is read as an empty list; an empty array is a problem.
    std::vector<std::string> read_string_list(std::string_view field);

    /// Reports every key that was not read as a field, and returns the location of the table. Must
    /// be called last.
    object_location finish();

private:
    const toml::node* find(std::string_view field, bool optional);
    void add_problem(std::string_view field, std::string message, std::string remedy);

    const toml::table& table_;
    std::string object_;
    std::vector<problem>& problems_;
    object_location location_;
    std::vector<std::string> known_fields_;
};

} // namespace trefoil
