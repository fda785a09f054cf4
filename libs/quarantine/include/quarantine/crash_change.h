#pragma once

#include "base/names.h"
#include "quarantine/content_fingerprint.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace trefoil {

enum class crash_change_kind : std::uint8_t {
    suspected,   ///< In flight at a first crash.
    quarantined, ///< Involved in a further crash; refused for the quarantine time.
    released,    ///< Completed, so that its crashes no longer count.
    expired,     ///< Dropped, long after its last crash.
    evicted,     ///< Dropped to make room for others.
};

/// Text for the audit trail, for example `quarantined`.
std::string_view to_string(crash_change_kind k) noexcept;

/// One change of what a node knows about crashes, for its audit trail.
struct crash_change {
    crash_change_kind change = crash_change_kind::suspected;
    content_fingerprint fingerprint;
    /// Crashes that count after the change.
    std::uint32_t crashes = 0;
    /// The VM whose upstream crashed, or whose node reported the change; empty if neither.
    vm_name source;
};

using crash_changes = std::vector<crash_change>;

} // namespace trefoil
