#pragma once

#include "base/time.h"
#include "dispatch/target_entry.h"
#include "dispatch/target_load.h"

#include <cstdint>

namespace trefoil {

/// One target as this node sees it: what it published and what its answers showed.
struct target_state {
    target_entry entry;
    /// Last load that the node beside it reported; meaningless while `load_known_at` is unset.
    target_load load;
    mono_time load_known_at;
    /// Requests of this node that it has not answered.
    std::uint32_t in_flight = 0;
    /// Of those, the ones sent after the last load report.
    std::uint32_t sent_since_report = 0;
    /// Smoothed share of requests that it failed without a reason in its load.
    double failure_share = 0.0;
    /// Gets nothing new before this time, since it or its VM could not be reached.
    mono_time suspended_until;
    /// Suspensions in a row.
    std::uint32_t suspensions = 0;
    /// Its entry was removed while the store was away; kept until the store's entries are back.
    bool unconfirmed = false;
};

} // namespace trefoil
