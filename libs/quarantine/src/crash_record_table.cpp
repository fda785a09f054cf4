#include "crash_record_table.h"

#include <algorithm>
#include <utility>

namespace trefoil {

const crash_record* crash_record_table::find(content_fingerprint fingerprint, mono_time now) const
{
    const auto it = records_.find(fingerprint);
    if (it == records_.end() || now - it->second.last_crash() >= options_.retention) {
        return nullptr;
    }
    return &it->second;
}

void crash_record_table::release(content_fingerprint fingerprint, const vm_name& source,
                                 mono_time now, crash_changes& changes)
{
    const auto it = records_.find(fingerprint);
    if (it != records_.end() && it->second.release()) {
        it->second.set_changed(now);
        changes.push_back({crash_change_kind::released, fingerprint, 0, source});
    }
}

void crash_record_table::merge(const crash_report& report, const vm_name& source, mono_time now,
                               crash_changes& changes)
{
    std::vector<crash_observation> recent;
    std::ranges::copy_if(report.crashes, std::back_inserter(recent),
                         [&](const auto& c) { return c.age < options_.retention; });
    if (recent.empty()) {
        return;
    }
    auto it = records_.find(report.fingerprint);
    if (it == records_.end()) {
        const bool all_released = std::ranges::all_of(recent, &crash_observation::released);
        if (!make_room(all_released, now, changes)) {
            return;
        }
        it = records_.try_emplace(report.fingerprint).first;
    }
    auto& record = it->second;
    const auto count_before = record.count();
    const auto last_before = record.last_counted();
    bool changed = false;
    for (const auto& c : recent) {
        // A negative age would extend the quarantine.
        const auto age = std::max(c.age, std::chrono::milliseconds(0));
        changed = record.add_crash(c.crash, now - age, c.released) || changed;
    }
    for (const auto& id : report.ids) {
        changed = record.add_id(id) || changed;
    }
    if (!report.ids_complete) {
        changed = record.set_ids_incomplete() || changed;
    }
    if (!changed) {
        return;
    }
    record.set_changed(now);
    const auto count = record.count();
    const auto add_change = [&](crash_change_kind kind) {
        changes.push_back({kind, report.fingerprint, count, source});
    };
    if (count >= quarantine_crashes &&
        (count_before < quarantine_crashes || record.last_counted() > last_before)) {
        add_change(crash_change_kind::quarantined);
    }
    else if (count > 0 && count_before == 0) {
        add_change(crash_change_kind::suspected);
    }
    else if (count == 0 && count_before > 0) {
        add_change(crash_change_kind::released);
    }
}

bool crash_record_table::is_quarantined(const crash_record& record, mono_time now) const noexcept
{
    return record.count() >= quarantine_crashes &&
           now - record.last_counted() < options_.quarantine;
}

bool crash_record_table::make_room(bool for_released, mono_time now, crash_changes& changes)
{
    if (records_.size() < options_.capacity) {
        return true;
    }
    if (for_released || records_.empty()) {
        return false;
    }
    const auto victim = std::ranges::min_element(records_, {}, [](const map::value_type& r) {
        return std::pair(std::min(r.second.count(), quarantine_crashes), r.second.last_crash());
    });
    // Contents that were only in flight at the same crash must not evict quarantined ones.
    if (is_quarantined(victim->second, now)) {
        return false;
    }
    changes.push_back({crash_change_kind::evicted, victim->first, victim->second.count(), {}});
    records_.erase(victim);
    return true;
}

void crash_record_table::expire(mono_time now, crash_changes& changes)
{
    std::erase_if(records_, [&](const auto& r) {
        if (now - r.second.last_crash() < options_.retention) {
            return false;
        }
        changes.push_back({crash_change_kind::expired, r.first, r.second.count(), {}});
        return true;
    });
}

std::vector<crash_report> crash_record_table::reports(std::size_t limit, mono_time now) const
{
    std::vector<const map::value_type*> order;
    order.reserve(records_.size());
    for (const auto& r : records_) {
        order.push_back(&r);
    }
    const auto quarantined_then_newest = [](const auto* a, const auto* b) {
        const bool a_counts = a->second.count() >= quarantine_crashes;
        const bool b_counts = b->second.count() >= quarantine_crashes;
        return a_counts != b_counts ? a_counts : a->second.changed_at() > b->second.changed_at();
    };
    const auto kept = std::min(limit, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(kept),
                              quarantined_then_newest);
    std::vector<crash_report> result;
    result.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        result.push_back(order[i]->second.report(order[i]->first, now));
    }
    return result;
}

} // namespace trefoil
