#pragma once

#include "base/names.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace trefoil {

enum class membership_change_kind : std::uint8_t {
    added,
    removed,
    suspected,
    trusted, ///< No longer suspected.
    leaving,
    returned, ///< No longer leaving.
    self_suspected,
    self_trusted,
    paused,
    refreshed,
};

/// Reason of a change, or of the present state of a VM.
enum class membership_reason : std::uint8_t {
    none,
    listed,              ///< State in the published list.
    not_listed,          ///< The published list no longer contains the VM.
    own_calls,           ///< Own calls of the node failed, or succeeded again.
    connection_failures, ///< The node could not connect.
    peer_reports,        ///< Several peers report the VM as suspected.
    reports_expired,     ///< Peers no longer report the VM.
    drain_announced,     ///< Announced by the VM itself, directly or through a peer.
    newer_incarnation,   ///< The VM restarted or was replaced.
    most_suspected,      ///< The node suspects more than half of a service, or no longer does.
    pause,               ///< The process was paused, or the view was refreshed after a pause.
};

/// Text for the audit trail, for example `self-suspected`.
std::string_view to_string(membership_change_kind k) noexcept;
/// Text for the audit trail, for example `drain-announced`.
std::string_view to_string(membership_reason r) noexcept;

/// One change of the view of a node, for the audit trail.
struct membership_change {
    membership_change_kind change = membership_change_kind::added;
    membership_reason reason = membership_reason::none;
    /// Empty if the change concerns the node itself.
    vm_name vm;
    /// Empty for a pause.
    service_name service;
};

using membership_changes = std::vector<membership_change>;

} // namespace trefoil
