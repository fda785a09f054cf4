#pragma once

#include "crash_record.h"
#include "quarantine/crash_change.h"
#include "quarantine/crash_suspects.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Bounded table of the crash records of all fingerprints. Not thread-safe.
class crash_record_table {
public:
    explicit crash_record_table(const crash_suspects_options& options) : options_(options) {}

    /// The record of a fingerprint; null if there is none within its retention.
    const crash_record* find(content_fingerprint fingerprint, mono_time now) const;

    /// Releases the recorded crashes of a fingerprint. `source` is the VM to name in the change.
    void release(content_fingerprint fingerprint, const vm_name& source, mono_time now,
                 crash_changes& changes);

    /// Merges a crash that this node detected (age 0) or a report of a peer.
    void merge(const crash_report& report, const vm_name& source, mono_time now,
               crash_changes& changes);

    /// Drops records whose retention has passed.
    void expire(mono_time now, crash_changes& changes);

    /// See crash_suspects::reports.
    std::vector<crash_report> reports(std::size_t limit, mono_time now) const;

    std::size_t size() const noexcept { return records_.size(); }

private:
    using map = std::unordered_map<content_fingerprint, crash_record>;

    bool is_quarantined(const crash_record& record, mono_time now) const noexcept;
    /// Evicts a record if the table is full. False if there is no room: a new record of released
    /// crashes (`for_released`) evicts nothing, and quarantined records are not evicted.
    bool make_room(bool for_released, mono_time now, crash_changes& changes);

    crash_suspects_options options_;
    map records_;
};

/// Minimum number of crashes for a quarantine.
constexpr std::uint32_t quarantine_crashes = 2;

} // namespace trefoil
