#pragma once

#include "base/request_id.h"
#include "base/time.h"
#include "quarantine/crash_report.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace trefoil {

/// The recorded crashes of one fingerprint. Merging is commutative and idempotent for the crashes
/// that are kept, so that reports may be received in any order and more than once.
class crash_record {
public:
    /// Adds a crash, or updates it if it is already recorded. False if the crash was not added and
    /// its release state did not change.
    bool add_crash(const crash_id& crash, mono_time at, bool released);

    /// Adds a request that was in flight at a crash. False if the record did not change.
    bool add_id(const request_id& id);

    /// Records that some ids are not stored. False if that was already recorded.
    bool set_ids_incomplete();

    /// Marks every crash as released. False if none counted.
    bool release();

    /// Number of crashes that count, which are those not released.
    std::uint32_t count() const noexcept;

    /// Time of the latest crash that counts; only valid if count() > 0.
    mono_time last_counted() const noexcept;

    /// Time of the latest crash, released or not.
    mono_time last_crash() const noexcept;

    /// Whether a request with this id may have been in flight at a crash.
    bool may_have_run(const request_id& id) const noexcept;

    /// Time of the last change of the record on this node.
    mono_time changed_at() const noexcept { return changed_at_; }
    void set_changed(mono_time now) noexcept { changed_at_ = now; }

    /// The record as a report to peers.
    crash_report report(content_fingerprint fingerprint, mono_time now) const;

private:
    struct observation {
        crash_id crash;
        mono_time at;
        bool released = false;
    };

    std::vector<observation> crashes_;
    std::vector<request_id> ids_;
    bool ids_complete_ = true;
    mono_time changed_at_;
};

} // namespace trefoil
