#pragma once

#include "base/time.h"
#include "once/lease_messages.h"
#include "once/list_history.h"
#include "once/once_options.h"

#include <cstdint>

namespace trefoil {

/// Grants leases to peers, for one set of members at a time. Not thread-safe; once_guard guards it
/// with a mutex.
class lease_grants {
public:
    /// `started` is the start time of the process. Grants made before a restart may remain valid
    /// for one lease time after it. `history` must outlive this object.
    lease_grants(const once_options& options, const list_history& history, mono_time started);

    /// Records that the node has recovered, from its peers, the lists that may still be in use (see
    /// ownership_lease).
    void set_recovered() noexcept { recovered_ = true; }

    /// True once the lease time has passed since the start and set_recovered() was called.
    bool ready(mono_time now) const noexcept;

    /// Grants the lease if this node is ready, holds a list with the same members, has not seen
    /// them change since the requested revision, has no unexpired grant for other members, and has
    /// granted no equal or higher revision for other members.
    grant_result grant(const grant_request& request, mono_time now);

private:
    const once_options* options_;
    const list_history* history_;
    mono_time started_;
    bool recovered_ = false;
    std::uint64_t granted_digest_ = 0;
    list_revision highest_granted_;
    mono_time granted_until_;
};

} // namespace trefoil
