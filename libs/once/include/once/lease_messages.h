#pragma once

#include "base/names.h"
#include "base/time.h"
#include "base/versions.h"
#include "once/member_list.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Lease request to a peer (`grant_lease` between nodes).
struct grant_request {
    list_revision revision;
    /// member_list::digest() of the requester's list. Revisions that do not change the members of
    /// the service have the same digest and do not interrupt leases.
    std::uint64_t members_digest = 0;
    std::chrono::milliseconds duration{0};
};

/// A member list that may still be in use somewhere.
struct reported_list {
    list_revision revision;
    std::vector<vm_name> members;
    /// Time since the reporter last knew the list to be in force; zero if it is its current list.
    std::chrono::milliseconds age{0};
};

/// Answer to grant_request.
struct grant_result {
    bool granted = false;
    /// False while the peer has not recovered its state after a start; it grants nothing then. The
    /// other fields are valid in either case.
    bool ready = false;
    /// Highest list revision that the peer holds or has granted.
    list_revision revision;
    /// Lists of the peer that are not known to be superseded. Its current list is included if its
    /// digest differs from the requested one.
    std::vector<reported_list> lists;
};

/// A lease request that the node should send now.
struct lease_call {
    vm_name peer;
    grant_request request;
    /// Start of the granted lease, which does not depend on when the answer arrives.
    mono_time sent;
};

} // namespace trefoil
