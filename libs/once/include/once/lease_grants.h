#pragma once

#include "base/time.h"
#include "once/lease_messages.h"
#include "once/list_history.h"
#include "once/once_options.h"

#include <cstdint>

namespace trefoil {

/// The granting side of leases: confirms one member list at a time. Not thread-safe; once_guard
/// holds it under a lock.
class lease_grants {
public:
    /// `started` is the time the process started; grants made before a restart may still count for
    /// one lease time after it. `history` must outlive this object.
    lease_grants(const once_options& options, const list_history& history, mono_time started);

    /// Records that the node has relearned the state of its peers (see ownership_lease).
    void set_relearned() noexcept { relearned_ = true; }

    /// True once the lease time has passed since the start and the peers' state is relearned.
    bool ready(mono_time now) const noexcept;

    /// Grants if this node holds a list with the same members, has not seen them change since the
    /// requested revision, has no grant outstanding for other members, and has granted no higher
    /// revision for other members.
    grant_result grant(const grant_request& request, mono_time now);

private:
    const once_options* options_;
    const list_history* history_;
    mono_time started_;
    bool relearned_ = false;
    std::uint64_t granted_digest_ = 0;
    list_revision highest_granted_;
    mono_time granted_until_;
};

} // namespace trefoil
