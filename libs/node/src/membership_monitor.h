#pragma once

#include "change_log.h"

#include "membership/member_view.h"
#include "routing/target_selector.h"

#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace trefoil {

/// Thread-safe wrapper of the node's member view that writes its changes to the audit trail. The
/// functions without a comment forward to member_view or read it.
class membership_monitor {
public:
    membership_monitor(member_view view, availability_zone_name zone, change_log& log);

    /// Chooses a target of the service that is not among `tried`. The first call to a service adds
    /// its targets to the view.
    std::optional<vm_name> pick(const service_name& service, std::span<const vm_name> tried,
                                std::uint64_t random, trial_policy trials);

    void set_called_services(const std::vector<service_name>& services);
    void apply_list(const vm_list& list);
    void call_started(const vm_name& vm, mono_time now);
    void call_finished(const vm_name& vm, mono_time started, call_evidence evidence);
    void drain_announced(const vm_name& vm, vm_incarnation incarnation);
    void incarnation_seen(const vm_name& vm, vm_incarnation incarnation);
    void peer_reported(const member_report& report);
    void pause_detected();
    void refreshed();
    void start_leaving();
    void tick();
    member_report report() const;
    std::vector<member_status> marked() const;
    bool suspects_itself() const;

private:
    /// The caller holds mutex_.
    void track_service(const service_name& service, mono_time now);
    void update_tracked(mono_time now);

    availability_zone_name zone_;
    change_log& log_;
    target_selector selector_;
    mutable std::mutex mutex_;
    member_view view_;
    vm_list list_;
    std::set<service_name> tracked_services_;
};

} // namespace trefoil
