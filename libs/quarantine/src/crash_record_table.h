#pragma once

#include "crash_record.h"
#include "quarantine/crash_change.h"
#include "quarantine/crash_suspects.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// The records of all fingerprints, bounded. Not thread-safe.
class crash_record_table {
public:
    explicit crash_record_table(const crash_suspects_options& options) : options_(options) {}

    /// The record of a fingerprint; null if there is none within its retention.
    const crash_record* find(content_fingerprint fingerprint, mono_time now) const;

    /// Releases a fingerprint.
    void release(content_fingerprint fingerprint, const vm_name& source, mono_time now,
                 crash_changes& changes);

    /// Takes over what this node saw (age 0) or a peer reported.
    void merge(const crash_report& report, const vm_name& source, mono_time now,
               crash_changes& changes);

    void expire(mono_time now, crash_changes& changes);

    std::vector<crash_report> reports(std::size_t limit, mono_time now) const;

    std::size_t size() const noexcept { return records_.size(); }

private:
    using map = std::unordered_map<content_fingerprint, crash_record>;

    bool is_quarantined(const crash_record& record, mono_time now) const noexcept;
    bool make_room(bool for_released, mono_time now, crash_changes& changes);

    crash_suspects_options options_;
    map records_;
};

/// Crashes from which on a fingerprint is quarantined.
constexpr std::uint32_t quarantine_crashes = 2;

} // namespace trefoil
