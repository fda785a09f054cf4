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

/// Identifies one crash of an upstream across the fleet, so that it is counted once however often
/// it is reported.
struct crash_id {
    vm_name vm;
    vm_incarnation incarnation;
    /// Sequence number of the crash among those that this incarnation of the VM's node detected.
    std::uint64_t ordinal = 0;

    friend bool operator==(const crash_id&, const crash_id&) = default;
    friend auto operator<=>(const crash_id&, const crash_id&) = default;
};

/// One crash at which a fingerprint was in flight.
struct crash_observation {
    crash_id crash;
    /// Time since the crash. A duration, because the clocks of nodes are not comparable.
    std::chrono::milliseconds age{0};
    /// The content was run successfully, so that the crash does not count.
    bool released = false;

    friend bool operator==(const crash_observation&, const crash_observation&) = default;
};

/// The crash record of one fingerprint as a node reports it to its peers, in the field
/// `quarantined` of an exchange.
struct crash_report {
    content_fingerprint fingerprint;
    std::vector<crash_observation> crashes;
    /// Requests with this content that were in flight at a crash.
    std::vector<request_id> ids;
    /// False if there were more such requests than `ids` can hold.
    bool ids_complete = true;

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace trefoil
