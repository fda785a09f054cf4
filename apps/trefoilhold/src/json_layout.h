#pragma once

#include <cpprest/json.h>

#include <string>
#include <utility>
#include <vector>

namespace trefoil {

/// A table of text cells; rows may have fewer cells than the header.
struct text_table {
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

/// Formats the table with aligned columns, each line indented by `indent` spaces.
std::string to_text(const text_table& table, std::size_t indent = 0);

/// Formats a JSON value for a table cell: strings without quotes, other values as JSON; each
/// control character is replaced by `?`.
std::string cell_text(const web::json::value& value);

/// Scalar members of a JSON object and its nested objects as pairs of a dotted path, such as
/// `lease.held`, and the value as text. Arrays are skipped.
std::vector<std::pair<std::string, std::string>> flatten(const web::json::value& object);

/// Formats any JSON object as readable text: scalars as aligned lines, objects as sections, arrays
/// of objects and objects of objects as tables. No field is omitted, so that fields that a newer
/// node reports are shown too.
std::string layout(const web::json::value& object);

} // namespace trefoil
