#include "objects/problem.h"

#include <algorithm>

namespace trefoil {

bool has_errors(const std::vector<problem>& problems)
{
    return std::ranges::any_of(problems,
                               [](const problem& p) { return p.level == severity::error; });
}

std::string describe(const problem& p)
{
    std::string text = p.file;
    if (p.line != 0) {
        text += ':' + std::to_string(p.line);
    }
    text += p.level == severity::error ? ": error: " : ": warning: ";
    text += p.object + ": " + p.message + "; " + p.remedy;
    // Names from an invalid file may contain line breaks or terminal control sequences.
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    return text;
}

} // namespace trefoil
