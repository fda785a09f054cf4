#include "objects/object_location.h"

namespace trefoil {

std::uint32_t object_location::line_of(std::string_view field) const
{
    const auto it = field_lines.find(field);
    return it == field_lines.end() ? line : it->second;
}

} // namespace trefoil
