#pragma once

#include "membership/member_view.h"

#include <set>
#include <string>
#include <vector>

namespace trefoil {

struct member_view_fixture {
    static constexpr std::size_t targets = 6;

    service_name own_service{"booking"};
    service_name called{"dyeing"};
    mono_time now{std::chrono::hours(1)};

    static vm_name vm(std::size_t i) { return vm_name("vm-" + std::to_string(i)); }

    /// A list with the live VMs vm-0 to vm-5 of the called service, and the own VM.
    vm_list list(std::uint64_t revision) const
    {
        vm_list result{{revision}, {}};
        for (std::size_t i = 0; i < targets; ++i) {
            result.vms.push_back({vm(i), availability_zone_name("zone-" + std::to_string(i % 3)),
                                  called, "127.0.0.1", 1, 2, vm_state::live});
        }
        result.vms.push_back({vm_name("own"), availability_zone_name("zone-0"), own_service,
                              "127.0.0.1", 1, 2, vm_state::live});
        return result;
    }

    member_view make_view(const std::string& own = "own") const
    {
        member_view view(own_service, vm_name(own), vm_incarnation{1});
        view.set_called_services(std::vector{called}, now);
        view.apply_list(list(1), now);
        return view;
    }

    /// Starts and finishes one call to a target.
    membership_changes call(member_view& view, const vm_name& target, call_evidence evidence) const
    {
        const auto started = now - std::chrono::milliseconds(1);
        view.call_started(target, started);
        return view.call_finished(target, started, evidence, now);
    }

    /// Fails as many calls to a target as are needed to suspect it.
    membership_changes fail(member_view& view, const vm_name& target) const
    {
        membership_changes changes;
        for (int i = 0; i < 3; ++i) {
            const auto more = call(view, target, call_evidence::failed);
            changes.insert(changes.end(), more.begin(), more.end());
        }
        return changes;
    }

    static bool suspects(const member_view& view, const vm_name& target)
    {
        const auto status = view.status(target);
        return status && status->suspected;
    }

    static bool is_leaving(const member_view& view, const vm_name& target)
    {
        const auto status = view.status(target);
        return status && status->leaving;
    }
};

} // namespace trefoil
