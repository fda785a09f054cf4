#pragma once

#include "base/time.h"
#include "dispatch/run_time.h"
#include "dispatch/target_entry.h"
#include "dispatch/target_load.h"

#include <cstdint>
#include <unordered_map>

namespace trefoil {

/// State of one target as seen by this node: its published entry and the statistics of its
/// responses.
struct target_state {
    target_entry entry;
    /// Last load that its node reported; meaningless while `load_known_at` is unset.
    target_load load;
    /// Time at which `load` was received.
    mono_time load_known_at;
    /// Run time of a route that its node reported, and when.
    struct reported_time {
        run_time time;
        mono_time known_at;
    };
    std::unordered_map<std::uint32_t, reported_time> run_times;
    /// Requests sent by this node that are not answered yet.
    std::uint32_t in_flight = 0;
    /// Requests sent by this node since the last load report.
    std::uint32_t sent_since_report = 0;
    /// Exponentially smoothed share of requests that failed for a reason other than overload, as of
    /// `failures_known_at`.
    double failure_share = 0.0;
    mono_time failures_known_at;
    /// Gets no new requests before this time, because it or its VM was unreachable.
    mono_time suspended_until;
    /// Number of consecutive suspensions.
    std::uint32_t suspensions = 0;
    /// Its entry disappeared while the store was unavailable or entries were being confirmed; the
    /// target is kept until the confirmation time has passed.
    bool unconfirmed = false;
};

} // namespace trefoil
