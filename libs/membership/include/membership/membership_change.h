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

/// Why a change happened, or why a VM is in its state.
enum class membership_reason : std::uint8_t {
    none,
    listed,              ///< The published list says so.
    not_listed,          ///< The published list no longer holds the VM.
    own_calls,           ///< The node's own calls failed, or succeeded again.
    connection_failures, ///< The node could not connect.
    peer_reports,        ///< Several peers report it.
    reports_expired,     ///< Peers no longer report it.
    drain_announced,     ///< The VM said so itself, directly or through a peer.
    newer_incarnation,   ///< The VM restarted or was replaced.
    most_suspected,      ///< The node suspects most of a service.
    pause,               ///< The process was paused, or its view was refreshed after a pause.
};

/// Text for the audit trail, for example `self-suspected`.
std::string_view to_string(membership_change_kind k) noexcept;
/// Text for the audit trail, for example `drain-announced`.
std::string_view to_string(membership_reason r) noexcept;

/// One change of a node's view, for its audit trail.
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
