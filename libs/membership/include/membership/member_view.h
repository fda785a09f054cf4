#pragma once

#include "base/names.h"
#include "base/time.h"
#include "base/versions.h"
#include "membership/member_report.h"
#include "membership/membership_change.h"
#include "routing/target_candidate.h"
#include "wire/vm_list.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace trefoil {

struct member_view_options {
    /// Consecutive failures of own calls after which a target is suspected. A single failure is
    /// often caused by the request.
    std::uint32_t failures_to_suspect = 3;
    /// Number of peers that must report a target before this node suspects it without failures of
    /// its own calls.
    std::uint32_t reports_to_suspect = 2;
    /// How long a peer's report is valid unless repeated; exchanges take place every second.
    std::chrono::nanoseconds report_lifetime = std::chrono::seconds(10);
    /// How long a success of an own call is valid; meanwhile it overrides the reports of peers.
    std::chrono::nanoseconds evidence_lifetime = std::chrono::seconds(10);
    /// Mean time until the first trial call to a suspected target; doubles with each trial.
    std::chrono::nanoseconds initial_trial_delay = std::chrono::seconds(1);
    std::chrono::nanoseconds max_trial_interval = std::chrono::seconds(30);
    /// Maximum time after a pause for which no target becomes suspected, in case neither the
    /// platform nor a peer can be reached to refresh the view.
    std::chrono::nanoseconds refresh_timeout = std::chrono::seconds(5);
    /// How long the drain announcement of a VM is kept after the VM is removed from the list.
    std::chrono::nanoseconds drain_retention = std::chrono::minutes(10);
};

/// Result of an own call to a target, as evidence about its health.
enum class call_evidence : std::uint8_t {
    answered, ///< A complete answer; its duration is used as latency.
    refused,  ///< A refusal by a working node (overload, drain): the target is reachable.
    failed,   ///< Time-out, connection loss or `upstream-down`.
    none,     ///< Cancelled by the caller; no evidence.
};

/// State of one VM in the view of a node.
struct member_status {
    vm_entry entry;
    vm_incarnation incarnation;
    bool suspected = false;
    membership_reason suspected_because = membership_reason::none;
    bool leaving = false;
    membership_reason leaving_because = membership_reason::none;
};

/// Tracks the targets of a node's own service and of the services it calls, from the published
/// list, the node's own calls and the reports of its peers. Modifying members return every change
/// of state. Not thread-safe.
class member_view {
public:
    /// `own_service` and `own_vm` are taken from the settings of the node.
    member_view(service_name own_service, vm_name own_vm, vm_incarnation own_incarnation,
                member_view_options options = {});
    ~member_view();
    member_view(member_view&&) noexcept;
    member_view& operator=(member_view&&) noexcept;
    member_view(const member_view&) = delete;
    member_view& operator=(const member_view&) = delete;

    /// Sets the services that the node calls. New services have no targets until the next
    /// apply_list, so the caller must apply the current list again.
    membership_changes set_called_services(std::span<const service_name> services, mono_time now);

    /// Applies a published list. A list with a lower revision than the last one is ignored.
    membership_changes apply_list(const vm_list& list, mono_time now);

    /// Records that a call was sent. If a trial of the target was due, the call serves as the
    /// trial.
    void call_started(const vm_name& vm, mono_time now);

    /// Records the result of a call. `started` is the time passed to call_started; the results of
    /// calls started before a pause are ignored.
    membership_changes call_finished(const vm_name& vm, mono_time started, call_evidence evidence,
                                     mono_time now);

    /// Records that a connection attempt outside a call failed.
    membership_changes connection_failed(const vm_name& vm, mono_time now);

    /// Applies the report of a peer.
    membership_changes peer_reported(const member_report& report, mono_time now);

    /// Records that the VM announced that this incarnation is leaving. Valid until a newer
    /// incarnation is seen, regardless of the list.
    membership_changes drain_announced(const vm_name& vm, vm_incarnation incarnation,
                                       mono_time now);

    /// Records that a message of this incarnation of the VM arrived. A newer incarnation discards
    /// the state of older ones.
    membership_changes incarnation_seen(const vm_name& vm, vm_incarnation incarnation,
                                        mono_time now);

    /// Records that this process was paused. Failures are ignored until `refreshed` is called or
    /// refresh_timeout has passed.
    membership_changes pause_detected(mono_time now);

    /// Records that the list and the reports of peers were read again after a pause.
    membership_changes refreshed(mono_time now);

    /// Records that this node starts to leave.
    membership_changes start_leaving(mono_time now);

    /// Expires reports and drain announcements; to be called about ten times a second.
    membership_changes tick(mono_time now);

    /// Returns the targets of a service, for target_selector. The span is valid until the next call
    /// of a non-const member. Empty for a service that is neither the own one nor called.
    std::span<const target_candidate> candidates(const service_name& service, mono_time now);

    /// Returns the listed entries of a service, including leaving and suspected VMs.
    std::vector<vm_entry> listed(const service_name& service) const;

    /// Returns the state of a VM of the own service or of a called one; empty if it is not listed.
    std::optional<member_status> status(const vm_name& vm) const;

    /// Returns all VMs that are suspected or leaving.
    std::vector<member_status> suspected_or_leaving() const;

    /// Whether the node suspects more than half of the other targets of a service. The fault is
    /// then assumed to be its own.
    bool suspects_itself() const;

    /// Returns the report for peers. Omits all suspicions if the node suspects itself, and that of
    /// a target unless, since it began to fail, more targets of its service answered than failed.
    member_report report() const;

    list_revision revision() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace trefoil
