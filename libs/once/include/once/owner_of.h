#pragma once

#include "base/request_id.h"
#include "once/member_list.h"

namespace trefoil {

/// The member that owns `id`: rendezvous hashing, so that a change of the list moves only the ids
/// of the members that came or went. Null if the list is empty. The result points into `members`.
const vm_name* owner_of(const request_id& id, const member_list& members) noexcept;

} // namespace trefoil
