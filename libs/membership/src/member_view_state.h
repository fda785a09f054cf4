#pragma once

#include "service_view.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoil {

/// Data of a member_view, and operations shared by its members.
struct member_view::state {
    /// Drain announcement of a VM.
    struct drain_state {
        /// Incarnation that is leaving. 0 while it is unknown; the first one seen is then assumed.
        vm_incarnation incarnation;
        /// Time at which the VM was removed from the list; empty if it is listed or never was.
        std::optional<mono_time> unlisted_since;
    };

    struct location {
        service_view* view = nullptr;
        std::size_t index = 0;
    };

    state(service_name service, vm_name vm, vm_incarnation incarnation, member_view_options opts)
        : own_service(std::move(service)), own_vm(std::move(vm)), own_incarnation(incarnation),
          options(opts)
    {
        services.try_emplace(own_service);
    }

    /// Calls `action(view, index)` if the VM is listed.
    template<class Action>
    void visit_member(const vm_name& vm, Action action) const
    {
        if (const auto it = locations.find(vm); it != locations.end()) {
            action(*it->second.view, it->second.index);
        }
    }

    void apply_entries(service_view& view, const std::vector<vm_entry>& entries, mono_time now,
                       membership_changes& changes);
    void remove_member(const service_view& view, const member& removed, mono_time now,
                       membership_changes& changes);

    void add_failure(service_view& view, std::size_t index, membership_reason reason, mono_time now,
                     membership_changes& changes);
    void apply_drain(const drain_announcement& announcement, mono_time now,
                     membership_changes& changes);
    void record_incarnation(const vm_name& vm, vm_incarnation incarnation, mono_time now,
                            membership_changes& changes);
    void expire_drains(mono_time now);

    /// Updates the candidate of a target from its health and drain state, and appends the changes.
    /// `because` replaces the reason if a suspicion or leaving state ends. The caller must then
    /// call update_self_suspicion, once for all targets of a service.
    void update_member(service_view& view, std::size_t index, mono_time now,
                       membership_changes& changes,
                       membership_reason because = membership_reason::none);
    void update_self_suspicion(const service_name& service, service_view& view,
                               membership_changes& changes) const;
    /// Calls update_member and update_self_suspicion for one target.
    void update(service_view& view, std::size_t index, mono_time now, membership_changes& changes,
                membership_reason because = membership_reason::none);
    void update_all(mono_time now, membership_changes& changes);

    bool suspects_itself() const;
    static member_status status_of(const service_view& view, std::size_t index);

    service_name own_service;
    vm_name own_vm;
    vm_incarnation own_incarnation;
    member_view_options options;
    list_revision revision;
    std::map<service_name, service_view> services;
    /// Points into `services`; a std::map keeps the addresses of its elements.
    std::unordered_map<vm_name, location> locations;
    std::unordered_map<vm_name, drain_state> drains;
    /// Time of the last pause. Results of calls started before it are ignored.
    mono_time paused_at = mono_time::min();
    /// Latest end of the refresh after a pause. While set, no target becomes suspected.
    std::optional<mono_time> refresh_until;
};

} // namespace trefoil
