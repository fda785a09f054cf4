#pragma once

#include "objects/load_objects.h"
#include "value_ranges.h"

#include <toml++/toml.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Reads the fields of one TOML table and records a problem for each fault about them.
class table_reader {
public:
    /// `object` names the table in problems.
    table_reader(const toml::table& table, std::string object, const std::string& file,
                 std::vector<problem>& problems);

    std::string text(std::string_view field);
    double number(std::string_view field);
    /// An absent field is a problem, unless `optional`. Returns range.min instead of a value that
    /// is absent or out of range.
    std::int64_t integer(std::string_view field, integer_range range, bool optional = false);
    /// An absent field means false.
    bool flag(std::string_view field);
    /// An absent field means an empty list; an empty array is a problem.
    std::vector<std::string> names(std::string_view field);

    /// Records every key that is no field read so far, and returns where the table stands.
    object_location finish();

private:
    const toml::node* find(std::string_view field, bool optional);
    void fault(std::string_view field, std::string message, std::string remedy);

    const toml::table& table_;
    std::string object_;
    std::vector<problem>& problems_;
    object_location location_;
    std::vector<std::string> known_;
};

} // namespace trefoil
