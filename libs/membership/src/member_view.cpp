#include "member_view_state.h"

#include <algorithm>
#include <utility>

namespace trefoil {

member_view::member_view(service_name own_service, vm_name own_vm, vm_incarnation own_incarnation,
                         member_view_options options)
    : state_(std::make_unique<state>(std::move(own_service), std::move(own_vm), own_incarnation,
                                     options))
{
}

member_view::~member_view() = default;
member_view::member_view(member_view&&) noexcept = default;
member_view& member_view::operator=(member_view&&) noexcept = default;

membership_changes member_view::set_called_services(std::span<const service_name> services,
                                                    mono_time now)
{
    membership_changes changes;
    auto& s = *state_;
    for (const auto& name : services) {
        s.services.try_emplace(name);
    }
    for (auto it = s.services.begin(); it != s.services.end();) {
        if (it->first == s.own_service ||
            std::ranges::find(services, it->first) != services.end()) {
            ++it;
            continue;
        }
        for (const auto& m : it->second.members) {
            s.remove_member(it->second, m, now, changes);
        }
        it = s.services.erase(it);
    }
    return changes;
}

membership_changes member_view::apply_list(const vm_list& list, mono_time now)
{
    membership_changes changes;
    auto& s = *state_;
    if (list.revision < s.revision) {
        return changes;
    }
    s.revision = list.revision;
    for (auto& [name, view] : s.services) {
        s.apply_entries(view, list.of_service(name), now, changes);
        s.update_self_suspicion(name, view, changes);
    }
    return changes;
}

void member_view::call_started(const vm_name& vm, mono_time now)
{
    auto& s = *state_;
    s.visit_member(vm, [&](service_view& view, std::size_t i) {
        ++view.candidates[i].in_flight;
        if (view.candidates[i].trial_due) {
            view.candidates[i].trial_due = false;
            view.members[i].health.trial_started(now, s.options);
            view.schedule_trials();
        }
    });
}

membership_changes member_view::call_finished(const vm_name& vm, mono_time started,
                                              call_evidence evidence, mono_time now)
{
    membership_changes changes;
    auto& s = *state_;
    s.visit_member(vm, [&](service_view& view, std::size_t i) {
        auto& candidate = view.candidates[i];
        candidate.in_flight -= candidate.in_flight > 0 ? 1 : 0;
        if (started <= s.paused_at || evidence == call_evidence::none) {
            return;
        }
        if (evidence == call_evidence::failed) {
            s.add_failure(view, i, membership_reason::own_calls, now, changes);
            return;
        }
        if (evidence == call_evidence::answered) {
            // Only answers are measured: a refusal is fast at any load of the target.
            const auto measured = now - started;
            const bool first = candidate.latency.count() == 0;
            candidate.latency += first ? measured : (measured - candidate.latency) / 8;
        }
        auto& health = view.members[i].health;
        const bool was_suspected = health.suspected();
        health.succeeded(now);
        if (was_suspected) {
            s.update(view, i, now, changes);
        }
    });
    return changes;
}

membership_changes member_view::connection_failed(const vm_name& vm, mono_time now)
{
    membership_changes changes;
    auto& s = *state_;
    s.visit_member(vm, [&](service_view& view, std::size_t i) {
        s.add_failure(view, i, membership_reason::connection_failures, now, changes);
    });
    return changes;
}

membership_changes member_view::peer_reported(const member_report& report, mono_time now)
{
    membership_changes changes = incarnation_seen(report.from, report.incarnation, now);
    auto& s = *state_;
    for (const auto& announcement : report.leaving) {
        // Without an incarnation the announcement could be applied to a later run of the VM.
        if (announcement.incarnation != vm_incarnation{}) {
            s.apply_drain(announcement, now, changes);
        }
    }
    for (auto& [name, view] : s.services) {
        for (std::size_t i = 0; i < view.members.size(); ++i) {
            const auto& vm = view.members[i].entry.name;
            // A message of the target itself is direct contact, not a report; see incarnation_seen.
            const bool suspected = vm != report.from && std::ranges::find(report.suspected, vm) !=
                                                            report.suspected.end();
            view.members[i].health.reported(report.from, suspected, now);
            s.update_member(view, i, now, changes);
        }
        s.update_self_suspicion(name, view, changes);
    }
    return changes;
}

membership_changes member_view::drain_announced(const vm_name& vm, vm_incarnation incarnation,
                                                mono_time now)
{
    membership_changes changes;
    state_->apply_drain({vm, incarnation}, now, changes);
    return changes;
}

membership_changes member_view::incarnation_seen(const vm_name& vm, vm_incarnation incarnation,
                                                 mono_time now)
{
    membership_changes changes;
    state_->record_incarnation(vm, incarnation, now, changes);
    return changes;
}

membership_changes member_view::pause_detected(mono_time now)
{
    auto& s = *state_;
    s.paused_at = now;
    s.refresh_until = now + s.options.refresh_timeout;
    for (auto& [name, view] : s.services) {
        for (auto& m : view.members) {
            m.health.discard_evidence(now);
        }
        view.schedule_trials();
    }
    return {{membership_change_kind::paused, membership_reason::pause, {}, {}}};
}

membership_changes member_view::refreshed(mono_time now)
{
    auto& s = *state_;
    if (!s.refresh_until) {
        return {};
    }
    s.refresh_until.reset();
    membership_changes changes{
        {membership_change_kind::refreshed, membership_reason::pause, {}, {}}};
    s.update_all(now, changes);
    return changes;
}

membership_changes member_view::start_leaving(mono_time now)
{
    // Recorded even if no list contains the own VM yet, so that it is reported to peers.
    state_->drains[state_->own_vm] = {state_->own_incarnation, std::nullopt};
    return drain_announced(state_->own_vm, state_->own_incarnation, now);
}

membership_changes member_view::tick(mono_time now)
{
    membership_changes changes;
    auto& s = *state_;
    if (s.refresh_until && now >= *s.refresh_until) {
        changes = refreshed(now);
    }
    s.expire_drains(now);
    s.update_all(now, changes);
    return changes;
}

std::span<const target_candidate> member_view::candidates(const service_name& service,
                                                          mono_time now)
{
    const auto it = state_->services.find(service);
    if (it == state_->services.end()) {
        return {};
    }
    it->second.update_due_trials(now);
    return it->second.candidates;
}

std::vector<vm_entry> member_view::listed(const service_name& service) const
{
    std::vector<vm_entry> entries;
    if (const auto it = state_->services.find(service); it != state_->services.end()) {
        std::ranges::transform(it->second.members, std::back_inserter(entries), &member::entry);
    }
    return entries;
}

std::optional<member_status> member_view::status(const vm_name& vm) const
{
    std::optional<member_status> result;
    state_->visit_member(
        vm, [&](const service_view& view, std::size_t i) { result = state::status_of(view, i); });
    return result;
}

std::vector<member_status> member_view::suspected_or_leaving() const
{
    std::vector<member_status> result;
    for (const auto& [name, view] : state_->services) {
        for (std::size_t i = 0; i < view.members.size(); ++i) {
            if (!view.candidates[i].healthy || view.candidates[i].leaving) {
                result.push_back(state::status_of(view, i));
            }
        }
    }
    return result;
}

bool member_view::suspects_itself() const
{
    return state_->suspects_itself();
}

member_report member_view::report() const
{
    const auto& s = *state_;
    member_report result{s.own_vm, s.own_incarnation, {}, {}};
    for (const auto& [vm, drain] : s.drains) {
        if (drain.incarnation != vm_incarnation{}) {
            result.leaving.push_back({vm, drain.incarnation});
        }
    }
    if (s.suspects_itself()) {
        return result;
    }
    for (const auto& [name, view] : s.services) {
        for (std::size_t i = 0; i < view.members.size(); ++i) {
            if (view.is_reportable(i, s.own_vm)) {
                result.suspected.push_back(view.members[i].entry.name);
            }
        }
    }
    return result;
}

list_revision member_view::revision() const
{
    return state_->revision;
}

} // namespace trefoil
