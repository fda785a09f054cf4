#pragma once

#include "base/strong_string.h"

namespace trefoil {

// Names of the configured and published objects. Each kind has its own type, so that, for example,
// a group name cannot be passed where a service name is expected.

using group_name = strong_string<struct group_name_tag>;
using rank_name = strong_string<struct rank_name_tag>;
using kind_name = strong_string<struct kind_name_tag>;
using service_name = strong_string<struct service_name_tag>;
using vm_name = strong_string<struct vm_name_tag>;
using availability_zone_name = strong_string<struct availability_zone_name_tag>;

} // namespace trefoil
