#pragma once

#include "base/names.h"
#include "base/request_id.h"
#include "base/time.h"
#include "base/versions.h"
#include "quarantine/content_fingerprint.h"
#include "quarantine/crash_change.h"
#include "quarantine/crash_check_result.h"
#include "quarantine/crash_report.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace trefoil {

/// Tuning of crash_suspects.
struct crash_suspects_options {
    /// How long a fingerprint is rejected after each crash, from its second crash on.
    std::chrono::nanoseconds quarantine = std::chrono::seconds(60);
    /// After the quarantine each target admits one trial run of the content, at an offset within
    /// this time that depends on the target. If the first trial crashes its target, the other
    /// targets know of the crash before they start theirs.
    std::chrono::nanoseconds trial_spread = std::chrono::seconds(10);
    /// A record is dropped this long after its last crash.
    std::chrono::nanoseconds retention = std::chrono::minutes(10);
    /// Maximum number of fingerprints recorded.
    std::size_t capacity = 1024;
    /// The `retry_after` of a request that is rejected because another suspect is running on the
    /// target.
    std::chrono::nanoseconds busy_retry_after = std::chrono::seconds(1);
};

/// Tracks request contents that were in flight when an upstream crashed (suspects), and decides
/// whether requests with these contents may run. One instance per node, which also tracks the
/// requests in flight at the node's own upstream. Thread-safe: the requests in flight are stored in
/// shards with a lock each, and while there are no records no other lock is taken.
class crash_suspects {
public:
    crash_suspects(vm_name own_vm, vm_incarnation own_incarnation,
                   crash_suspects_options options = {});
    ~crash_suspects();
    crash_suspects(const crash_suspects&) = delete;
    crash_suspects& operator=(const crash_suspects&) = delete;
    crash_suspects(crash_suspects&&) = delete;
    crash_suspects& operator=(crash_suspects&&) = delete;

    /// Decides whether a request for the own upstream may run. Changes no state. For once-only
    /// work, the answer `not_run` must also be checked against the once-only rules.
    crash_check_result decide(const request_id& id, content_fingerprint fingerprint,
                              mono_time now) const;

    /// Decides whether this node may send a call to another target. Like `decide`, but regardless
    /// of the requests that run on the own upstream. A call with the decision `run_alone` must not
    /// be retried.
    crash_check_result decide_forward(const request_id& id, content_fingerprint fingerprint,
                                      mono_time now) const;

    /// Decides again immediately before the request is forwarded to the own upstream and, unless it
    /// is rejected, registers it as in flight. Atomic: of two suspects that both pass `decide`,
    /// only one passes `started`.
    crash_check_result started(const request_id& id, content_fingerprint fingerprint,
                               mono_time now);

    /// Records that the upstream ran the request successfully, and releases the fingerprint.
    crash_changes completed(const request_id& id, content_fingerprint fingerprint, mono_time now);

    /// Records a complete response of the upstream with this HTTP status. An error status does not
    /// release the fingerprint.
    crash_changes answered(const request_id& id, content_fingerprint fingerprint, unsigned status,
                           mono_time now);

    /// Records that the request ended without a response of the upstream (cancelled, timed out,
    /// rejected by it).
    void abandoned(const request_id& id, content_fingerprint fingerprint);

    /// Records a crash of the own upstream: all requests in flight become suspects and are no
    /// longer in flight.
    crash_changes crashed(mono_time now);

    /// Merges the reports of a peer.
    crash_changes merge(const vm_name& peer, std::span<const crash_report> reports, mono_time now);

    /// The records to report to peers, at most `limit`: fingerprints with enough crashes for a
    /// quarantine first, then the most recently changed.
    std::vector<crash_report> reports(std::size_t limit, mono_time now) const;

    /// Drops records whose retention has passed.
    crash_changes expire(mono_time now);

    /// Number of fingerprints recorded.
    std::size_t size() const;

    /// Number of requests in flight at the own upstream.
    std::size_t in_flight() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace trefoil
