#pragma once

#include "base/names.h"
#include "base/request_id.h"
#include "base/time.h"
#include "base/versions.h"
#include "quarantine/content_fingerprint.h"
#include "quarantine/crash_change.h"
#include "quarantine/crash_report.h"
#include "quarantine/crash_verdict.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace trefoil {

struct crash_suspects_options {
    /// How long a fingerprint is refused after a crash, from its second crash on.
    std::chrono::nanoseconds quarantine = std::chrono::seconds(60);
    /// After the quarantine each target admits its trial at its own point of this span, so that
    /// the first trial's crash is known to the other targets before they begin theirs.
    std::chrono::nanoseconds trial_spread = std::chrono::seconds(10);
    /// Records are dropped this long after the last crash.
    std::chrono::nanoseconds retention = std::chrono::minutes(10);
    /// Bound on the fingerprints.
    std::size_t capacity = 1024;
    /// Value of `retry_after` when another suspect is running on the target.
    std::chrono::nanoseconds busy_retry_after = std::chrono::seconds(1);
};

/// Requests whose content was in flight when upstreams crashed. One per node; it also knows which
/// requests are in flight at the node's own upstream. Thread-safe: the requests in flight are in
/// shards with a lock each, and while nothing is suspected no other lock is taken.
class crash_suspects {
public:
    crash_suspects(vm_name own_vm, vm_incarnation own_incarnation,
                   crash_suspects_options options = {});
    ~crash_suspects();
    crash_suspects(const crash_suspects&) = delete;
    crash_suspects& operator=(const crash_suspects&) = delete;
    crash_suspects(crash_suspects&&) = delete;
    crash_suspects& operator=(crash_suspects&&) = delete;

    /// What to do with a request that arrives for the own upstream. Changes nothing. For once-only
    /// work, `not_run` still needs the check of the once-only rules.
    crash_verdict decide(const request_id& id, content_fingerprint fingerprint,
                         mono_time now) const;

    /// What to do with a call that this node would send to another target: like `decide`, but what
    /// runs on the own upstream does not count. A call that is to run alone must not be retried.
    crash_verdict decide_forward(const request_id& id, content_fingerprint fingerprint,
                                 mono_time now) const;

    /// Decides again immediately before the hand-off to the own upstream and, unless refused,
    /// registers the request as in flight. Two suspects can pass `decide` but only one passes this.
    crash_verdict started(const request_id& id, content_fingerprint fingerprint, mono_time now);

    /// The upstream ran the request to a good end: the fingerprint is released.
    crash_changes completed(const request_id& id, content_fingerprint fingerprint, mono_time now);

    /// The upstream gave its whole answer with this status. A failure releases nothing.
    crash_changes answered(const request_id& id, content_fingerprint fingerprint, unsigned status,
                           mono_time now);

    /// The request ended without an answer of the upstream (cancelled, timed out, refused by it).
    void abandoned(const request_id& id, content_fingerprint fingerprint);

    /// The own upstream died: all requests in flight become suspects and are no longer in flight.
    crash_changes crashed(mono_time now);

    /// Takes over what a peer reported.
    crash_changes merge(const vm_name& peer, std::span<const crash_report> reports, mono_time now);

    /// What to report to peers: quarantined fingerprints first, then by the latest crash.
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
