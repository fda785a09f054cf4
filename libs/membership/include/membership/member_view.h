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
    /// often the fault of the request.
    std::uint32_t failures_to_suspect = 3;
    /// Peers that must report a target before this node suspects it without evidence of its own.
    std::uint32_t reports_to_suspect = 2;
    /// A peer's report counts this long unless repeated; exchanges take place each second.
    std::chrono::nanoseconds report_lifetime = std::chrono::seconds(10);
    /// Own results count as evidence this long; a recent success outweighs the peers' reports.
    std::chrono::nanoseconds evidence_lifetime = std::chrono::seconds(10);
    /// Time until the first trial of a suspected target; doubles after each failed trial.
    std::chrono::nanoseconds initial_trial_delay = std::chrono::seconds(1);
    std::chrono::nanoseconds max_trial_interval = std::chrono::seconds(30);
    /// After a pause, suspicion resumes at the latest after this time, in case that neither the
    /// platform nor a peer can be reached to refresh the view.
    std::chrono::nanoseconds refresh_timeout = std::chrono::seconds(5);
    /// How long the drain announcement of a VM is kept while no list holds it.
    std::chrono::nanoseconds drain_memory = std::chrono::minutes(10);
};

/// How an own call to a target ended, as evidence about its health.
enum class call_evidence : std::uint8_t {
    answered, ///< A complete answer; its time counts as latency.
    refused,  ///< A refusal by a working node (overload, drain); shows that it is reachable.
    failed,   ///< Time-out, lost connection or `upstream-down`.
    none,     ///< Cancelled by the caller; shows nothing.
};

/// What a node knows about one VM.
struct member_status {
    vm_entry entry;
    vm_incarnation incarnation;
    bool suspected = false;
    membership_reason suspected_because = membership_reason::none;
    bool leaving = false;
    membership_reason leaving_because = membership_reason::none;
};

/// The targets of a node's own service and of the services it calls, from the published list, the
/// node's own calls and its peers' reports. Not thread-safe. Every change of state is returned.
class member_view {
public:
    /// `own_service` and `own_vm` are the node's settings.
    member_view(service_name own_service, vm_name own_vm, vm_incarnation own_incarnation,
                member_view_options options = {});
    ~member_view();
    member_view(member_view&&) noexcept;
    member_view& operator=(member_view&&) noexcept;
    member_view(const member_view&) = delete;
    member_view& operator=(const member_view&) = delete;

    /// Sets the services that the node calls. Services added get their targets with the next list,
    /// so the caller applies the current list again.
    membership_changes set_called_services(std::span<const service_name> services, mono_time now);

    /// Takes over a published list. One with a lower revision than the last is ignored.
    membership_changes apply_list(const vm_list& list, mono_time now);

    /// A call was sent. Ends the trial that the target was due for.
    void call_started(const vm_name& vm, mono_time now);

    /// A call ended. `started` is the time given to call_started; evidence of calls from before a
    /// pause is ignored.
    membership_changes call_finished(const vm_name& vm, mono_time started, call_evidence evidence,
                                     mono_time now);

    /// A connection attempt outside a call failed.
    membership_changes connection_failed(const vm_name& vm, mono_time now);

    /// Takes over what a peer reported.
    membership_changes peer_reported(const member_report& report, mono_time now);

    /// The VM announced that its current run is leaving. Holds until a newer incarnation is seen,
    /// whatever the list says.
    membership_changes drain_announced(const vm_name& vm, vm_incarnation incarnation,
                                       mono_time now);

    /// A message of this run of the VM arrived. A newer run clears what is known about older ones.
    membership_changes incarnation_seen(const vm_name& vm, vm_incarnation incarnation,
                                        mono_time now);

    /// The own process was paused: failures count again only after `refreshed`.
    membership_changes pause_detected(mono_time now);

    /// The list and the peers' reports were read again after a pause.
    membership_changes refreshed(mono_time now);

    /// The own node starts to leave.
    membership_changes start_leaving(mono_time now);

    /// Expires reports and marks; to be called about ten times a second.
    membership_changes tick(mono_time now);

    /// The targets of a service, for target_selector. Valid until the next call of a non-const
    /// member. Empty for a service that the node does not call.
    std::span<const target_candidate> candidates(const service_name& service, mono_time now);

    /// The listed entries of a service, leaving ones included. Suspicion does not change it.
    std::vector<vm_entry> listed(const service_name& service) const;

    /// What is known about a VM of the own service or a called one.
    std::optional<member_status> status(const vm_name& vm) const;

    /// All VMs that are suspected or leaving.
    std::vector<member_status> marked() const;

    /// Whether the node suspects most of some service, and therefore itself.
    bool suspects_itself() const;

    /// What to tell peers. Leaves out all suspicions if the node suspects itself, and those of a
    /// target unless more of its service's other targets answered than failed since.
    member_report report() const;

    list_revision revision() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace trefoil
