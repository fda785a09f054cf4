#pragma once

#include "base/names.h"
#include "base/request_id.h"
#include "base/versions.h"
#include "quarantine/content_fingerprint.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Identifies one crash of one upstream across the fleet, so that it is counted once however often
/// it is reported.
struct crash_id {
    vm_name vm;
    vm_incarnation incarnation;
    /// Counts the crashes that this incarnation of the VM's node saw.
    std::uint64_t ordinal = 0;

    friend bool operator==(const crash_id&, const crash_id&) = default;
    friend auto operator<=>(const crash_id&, const crash_id&) = default;
};

/// One crash that a fingerprint was involved in.
struct crash_observation {
    crash_id crash;
    /// Time since the crash, as a duration so that no clocks are compared.
    std::chrono::milliseconds age{0};
    /// The content completed later, so that the crash does not count.
    bool released = false;

    friend bool operator==(const crash_observation&, const crash_observation&) = default;
};

/// What one node tells its peers about one fingerprint, in the field `quarantined` of an exchange.
struct crash_report {
    content_fingerprint fingerprint;
    std::vector<crash_observation> crashes;
    /// Requests with this content that were in flight at a crash.
    std::vector<request_id> ids;
    /// False if there were more of them than are kept.
    bool ids_complete = true;

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace trefoil
