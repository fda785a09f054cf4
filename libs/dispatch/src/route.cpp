#include "dispatch/route.h"

#include "base/hash.h"

namespace trefoil {

std::uint32_t route_key(const std::string& route_name) noexcept
{
    return static_cast<std::uint32_t>(hash64(route_name));
}

} // namespace trefoil
