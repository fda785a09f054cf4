#pragma once

#include "base/request_id.h"
#include "once/member_list.h"

namespace trefoil {

/// Returns the member that owns `id` by rendezvous hashing, so that a change of the list moves only
/// ids of members that were added or removed. The result points into `members`; it is null if the
/// list is empty.
const vm_name* owner_of(const request_id& id, const member_list& members) noexcept;

} // namespace trefoil
