#pragma once

#include "service_view.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoil {

/// The data of a member_view and the steps that its members share.
struct member_view::state {
    /// The run of a VM that announced that it is leaving.
    struct drain_state {
        /// 0 while the run is not known; the first one seen is taken for it.
        vm_incarnation incarnation;
        /// Since when no list holds the VM; none while one does.
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

    /// Calls `action(view, index)` if the VM is known.
    template<class Action>
    void with_member(const vm_name& vm, Action action) const
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
    void announce_drain(const drain_mark& mark, mono_time now, membership_changes& changes);
    void see_incarnation(const vm_name& vm, vm_incarnation incarnation, mono_time now,
                         membership_changes& changes);
    void forget_drains(mono_time now);

    /// Brings a target's candidate up to date with what is known, and reports what changed.
    /// `because` replaces the reason of a mark that is withdrawn. The caller then brings the
    /// self-suspicion up to date, once for all targets of a service.
    void update_member(service_view& view, std::size_t index, mono_time now,
                       membership_changes& changes,
                       membership_reason because = membership_reason::none);
    void update_self_suspicion(const service_name& service, service_view& view,
                               membership_changes& changes) const;
    /// Both steps, for one target.
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
    /// Points into `services`, whose nodes do not move.
    std::unordered_map<vm_name, location> locations;
    std::unordered_map<vm_name, drain_state> drains;
    /// Results of calls from before this are ignored.
    mono_time paused_at = mono_time::min();
    /// While set, the view is being refreshed after a pause and nothing new is suspected.
    std::optional<mono_time> refresh_until;
};

} // namespace trefoil
