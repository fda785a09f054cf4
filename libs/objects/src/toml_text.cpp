#include "toml_text.h"

#include "objects/check_objects.h"
#include "toml_nesting.h"

namespace trefoil {

std::optional<toml::table> parse_toml(std::string_view text, const std::string& file,
                                      load_result& result)
{
    result.bytes += text.size();
    if (text.size() > max_set_bytes) {
        // Parsing a text of arbitrary size would use unbounded memory. check_objects reports the
        // size of the set.
        result.incomplete = true;
        return std::nullopt;
    }
    if (const auto line = find_deep_key(text)) {
        result.incomplete = true;
        result.problems.push_back({file, *line, "file", "a key has too many dotted parts",
                                   "write the fields of an object without dots"});
        return std::nullopt;
    }
    try {
        return toml::parse(text, file);
    }
    catch (const toml::parse_error& e) {
        result.incomplete = true;
        result.problems.push_back({file, e.source().begin.line, "file",
                                   std::string(e.description()), "write valid TOML"});
        return std::nullopt;
    }
}

} // namespace trefoil
