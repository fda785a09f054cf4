#pragma once

#include <chrono>
#include <cstddef>

namespace trefoil {

/// Limits of at-most-once execution. Every node of a service must use the same times.
struct once_options {
    /// Time after the creation of an id in which repeated sends are recognised.
    std::chrono::milliseconds id_lifetime{30'000};
    /// Maximum difference between the wall clocks of any two nodes. Callers' clocks need no bound.
    std::chrono::milliseconds clock_skew{500};
    /// Duration of a grant, counted from the time at which the request was sent.
    std::chrono::milliseconds lease{4'000};
    /// Additional time for which the granting node keeps a grant. It covers monotonic clocks whose
    /// rates differ by up to 1%.
    std::chrono::milliseconds lease_drift{20};
    /// An older list that was last known to be in force longer ago than this needs no grants from
    /// members that are no longer listed: they are assumed terminated. It is also the start-up wait
    /// when all nodes of a service restart at once.
    std::chrono::milliseconds old_list_timeout{30'000};
    /// Lease requests sent beyond the majority, so that one slow peer does not end the lease.
    std::size_t spare_peers = 1;
    /// Max number of older member lists kept and reported.
    std::size_t max_lists = 16;

    std::size_t ledger_shards = 16;
    /// Max number of ledger entries over all shards; at most half of them record refusals.
    std::size_t ledger_entries = 32'768;
    /// Max size of one stored answer. A larger one is not stored, and a repeat of its id is
    /// answered `unknown`.
    std::size_t max_answer_bytes = 16'384;
    /// Max total size of stored answers over all shards, in bytes.
    std::size_t ledger_answer_bytes = 8'388'608;
};

} // namespace trefoil
