#pragma once

#include "base/names.h"
#include "quarantine/content_fingerprint.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace trefoil {

/// Kind of a change in the crash records of a fingerprint.
enum class crash_change_kind : std::uint8_t {
    suspected,   ///< In flight at its first counted crash.
    quarantined, ///< In flight at a further crash; rejected for the quarantine time.
    released,    ///< Ran successfully, so that its crashes no longer count.
    expired,     ///< Dropped at the end of the retention after its last crash.
    evicted,     ///< Dropped because the table was full.
};

/// Text for the audit trail, for example `quarantined`.
std::string_view to_string(crash_change_kind k) noexcept;

/// One change in the crash records of a node, for its audit trail.
struct crash_change {
    crash_change_kind change = crash_change_kind::suspected;
    content_fingerprint fingerprint;
    /// Number of crashes that count after the change.
    std::uint32_t crashes = 0;
    /// The VM whose upstream crashed, or whose node reported the change; empty if neither.
    vm_name source;
};

using crash_changes = std::vector<crash_change>;

} // namespace trefoil
