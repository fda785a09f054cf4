#include "toml_nesting.h"

#include <algorithm>

namespace trefoil {

namespace {

/// Returns the position after the string literal that starts at `begin`. An unterminated
/// single-line string ends at the end of its line; toml++ reports the error later.
std::size_t skip_quoted(std::string_view text, std::size_t begin)
{
    const char quote = text[begin];
    const std::string_view triple = quote == '"' ? R"(""")" : "'''";
    const bool multi_line = text.substr(begin, 3) == triple;
    std::size_t i = begin + (multi_line ? 3 : 1);
    while (i < text.size()) {
        if (quote == '"' && text[i] == '\\') {
            i += 2;
        }
        else if (multi_line && text.substr(i, 3) == triple) {
            // Up to two quotes directly before the closing delimiter are part of the string.
            i += 3;
            for (int extra = 0; extra < 2 && i < text.size() && text[i] == quote; ++extra) {
                ++i;
            }
            return i;
        }
        else if (!multi_line && (text[i] == quote || text[i] == '\n')) {
            return text[i] == quote ? i + 1 : i;
        }
        else {
            ++i;
        }
    }
    return text.size();
}

} // namespace

std::optional<std::uint32_t> find_deep_key(std::string_view toml_text)
{
    std::size_t dots = 0;
    std::size_t i = 0;
    while (i < toml_text.size()) {
        const char c = toml_text[i];
        if (c == '"' || c == '\'') {
            i = skip_quoted(toml_text, i);
            continue;
        }
        if (c == '#') {
            i = std::min(toml_text.find('\n', i), toml_text.size());
            continue;
        }
        if (c == '.') {
            ++dots;
        }
        else if (std::string_view("\n=,[]{}").find(c) != std::string_view::npos) {
            dots = 0;
        }
        if (dots > max_key_dots) {
            return 1 + static_cast<std::uint32_t>(std::ranges::count(toml_text.substr(0, i), '\n'));
        }
        ++i;
    }
    return std::nullopt;
}

} // namespace trefoil
