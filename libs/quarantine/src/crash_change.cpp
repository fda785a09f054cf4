#include "quarantine/crash_change.h"

namespace trefoil {

std::string_view to_string(crash_change_kind k) noexcept
{
    switch (k) {
    case crash_change_kind::suspected:
        return "suspected";
    case crash_change_kind::quarantined:
        return "quarantined";
    case crash_change_kind::released:
        return "released";
    case crash_change_kind::expired:
        return "expired";
    case crash_change_kind::evicted:
        break;
    }
    return "evicted";
}

} // namespace trefoil
