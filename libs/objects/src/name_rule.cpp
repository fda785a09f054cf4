#include "objects/name_rule.h"

#include <algorithm>

namespace trefoil {

namespace {

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

} // namespace

bool is_valid_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_length && is_alphanumeric(name.front()) &&
           std::ranges::all_of(
               name, [](char c) { return is_alphanumeric(c) || c == '_' || c == '-' || c == '.'; });
}

} // namespace trefoil
