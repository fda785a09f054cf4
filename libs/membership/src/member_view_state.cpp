#include "member_view_state.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace trefoil {

void member_view::state::apply_entries(service_view& view, const std::vector<vm_entry>& entries,
                                       mono_time now, membership_changes& changes)
{
    auto old = std::exchange(view, service_view{});
    view.self_suspected = old.self_suspected;
    std::vector<bool> kept(old.members.size());
    for (const auto& entry : entries) {
        const auto known = locations.find(entry.name);
        if (known != locations.end() && known->second.view == &view) {
            const auto i = known->second.index;
            kept[i] = true;
            view.members.push_back(std::move(old.members[i]));
            view.members.back().entry = entry;
            view.candidates.push_back(std::move(old.candidates[i]));
            view.candidates.back().availability_zone = entry.availability_zone;
        }
        else {
            const auto incarnation = entry.name == own_vm ? own_incarnation : vm_incarnation{};
            const auto seed = hash64(entry.name.str(), hash64(own_vm.str()));
            view.members.push_back({entry, incarnation, target_health(seed)});
            view.candidates.push_back({entry.name, entry.availability_zone});
            if (const auto drain = drains.find(entry.name); drain != drains.end()) {
                drain->second.unlisted_since.reset();
            }
            changes.push_back({membership_change_kind::added, membership_reason::listed, entry.name,
                               entry.service});
        }
    }
    for (std::size_t i = 0; i < kept.size(); ++i) {
        if (!kept[i]) {
            remove_member(view, old.members[i], now, changes);
        }
    }
    for (std::size_t i = 0; i < view.members.size(); ++i) {
        locations[view.members[i].entry.name] = {&view, i};
        update_member(view, i, now, changes);
    }
    view.schedule_trials();
}

void member_view::state::remove_member(const service_view& view, const member& removed,
                                       mono_time now, membership_changes& changes)
{
    // The VM may already be listed under another service.
    const auto it = locations.find(removed.entry.name);
    if (it != locations.end() && it->second.view == &view) {
        locations.erase(it);
        if (const auto drain = drains.find(removed.entry.name); drain != drains.end()) {
            drain->second.unlisted_since = now;
        }
    }
    changes.push_back({membership_change_kind::removed, membership_reason::not_listed,
                       removed.entry.name, removed.entry.service});
}

void member_view::state::add_failure(service_view& view, std::size_t index,
                                     membership_reason reason, mono_time now,
                                     membership_changes& changes)
{
    if (refresh_until || view.candidates[index].vm == own_vm) {
        return;
    }
    view.members[index].health.failed(reason, now, options);
    update(view, index, now, changes);
}

void member_view::state::apply_drain(const drain_announcement& announcement, mono_time now,
                                     membership_changes& changes)
{
    record_incarnation(announcement.vm, announcement.incarnation, now, changes);
    visit_member(announcement.vm, [&](service_view& view, std::size_t i) {
        const auto known = view.members[i].incarnation;
        const bool is_own = announcement.vm == own_vm && announcement.incarnation != known;
        if (is_own ||
            (announcement.incarnation != vm_incarnation{} && announcement.incarnation < known)) {
            return;
        }
        auto& drain = drains[announcement.vm];
        drain.incarnation = std::max(drain.incarnation, known);
        update(view, i, now, changes);
    });
}

void member_view::state::record_incarnation(const vm_name& vm, vm_incarnation incarnation,
                                            mono_time now, membership_changes& changes)
{
    if (vm == own_vm) {
        return;
    }
    visit_member(vm, [&](service_view& view, std::size_t i) {
        auto& m = view.members[i];
        if (incarnation <= m.incarnation) {
            return;
        }
        const auto drain = drains.find(vm);
        if (drain != drains.end()) {
            if (drain->second.incarnation == vm_incarnation{}) {
                drain->second.incarnation = incarnation;
            }
            else if (drain->second.incarnation < incarnation) {
                drains.erase(drain);
            }
        }
        // The first known incarnation does not discard the evidence, which may be about it.
        if (m.incarnation != vm_incarnation{}) {
            m.health = target_health(hash64(vm.str(), hash64(own_vm.str())));
            view.candidates[i].latency = {};
        }
        m.incarnation = incarnation;
        update(view, i, now, changes, membership_reason::newer_incarnation);
    });
}

void member_view::state::expire_drains(mono_time now)
{
    std::erase_if(drains, [&](const auto& d) {
        const auto since = d.second.unlisted_since;
        return since && now - *since >= options.drain_retention;
    });
}

void member_view::state::update_member(service_view& view, std::size_t index, mono_time now,
                                       membership_changes& changes, membership_reason because)
{
    auto& m = view.members[index];
    auto& candidate = view.candidates[index];
    const auto reason_or = [&](membership_reason own) {
        return because == membership_reason::none ? own : because;
    };
    m.health.evaluate(now, !refresh_until && candidate.vm != own_vm, options);
    if (candidate.healthy == m.health.suspected()) {
        candidate.healthy = !m.health.suspected();
        candidate.trial_due = false;
        view.schedule_trials();
        changes.push_back({candidate.healthy ? membership_change_kind::trusted
                                             : membership_change_kind::suspected,
                           candidate.healthy ? reason_or(m.health.reason()) : m.health.reason(),
                           m.entry.name, m.entry.service});
    }
    const bool announced = drains.contains(m.entry.name);
    const bool listed_leaving = m.entry.state == vm_state::leaving;
    m.leaving_because = announced        ? membership_reason::drain_announced
                        : listed_leaving ? membership_reason::listed
                                         : membership_reason::none;
    if (candidate.leaving != (announced || listed_leaving)) {
        candidate.leaving = !candidate.leaving;
        changes.push_back(
            {candidate.leaving ? membership_change_kind::leaving : membership_change_kind::returned,
             candidate.leaving ? m.leaving_because : reason_or(membership_reason::listed),
             m.entry.name, m.entry.service});
    }
}

void member_view::state::update(service_view& view, std::size_t index, mono_time now,
                                membership_changes& changes, membership_reason because)
{
    update_member(view, index, now, changes, because);
    update_self_suspicion(view.members[index].entry.service, view, changes);
}

void member_view::state::update_self_suspicion(const service_name& service, service_view& view,
                                               membership_changes& changes) const
{
    if (view.suspects_majority(own_vm) == view.self_suspected) {
        return;
    }
    view.self_suspected = !view.self_suspected;
    changes.push_back({view.self_suspected ? membership_change_kind::self_suspected
                                           : membership_change_kind::self_trusted,
                       membership_reason::most_suspected,
                       {},
                       service});
}

void member_view::state::update_all(mono_time now, membership_changes& changes)
{
    for (auto& [name, view] : services) {
        for (std::size_t i = 0; i < view.members.size(); ++i) {
            update_member(view, i, now, changes);
        }
        update_self_suspicion(name, view, changes);
    }
}

bool member_view::state::suspects_itself() const
{
    return std::ranges::any_of(services, [](const auto& s) { return s.second.self_suspected; });
}

member_status member_view::state::status_of(const service_view& view, std::size_t index)
{
    const auto& m = view.members[index];
    const auto& candidate = view.candidates[index];
    return {m.entry,
            m.incarnation,
            !candidate.healthy,
            candidate.healthy ? membership_reason::none : m.health.reason(),
            candidate.leaving,
            m.leaving_because};
}

} // namespace trefoil
