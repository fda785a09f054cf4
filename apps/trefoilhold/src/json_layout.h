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

/// The table with aligned columns, each line indented by `indent` spaces.
std::string to_text(const text_table& table, std::size_t indent = 0);

/// A JSON value on one line: texts without quotes and control characters, others as JSON.
std::string cell_text(const web::json::value& value);

/// Scalar members of a JSON object and its nested objects, with names such as `lease.held`.
std::vector<std::pair<std::string, std::string>> flatten(const web::json::value& object);

/// Any JSON object as readable text: scalars as aligned lines, objects as sections, and arrays and
/// objects of objects as tables. Nothing is left out, so that fields this version does not know
/// are shown too.
std::string layout(const web::json::value& object);

} // namespace trefoil
