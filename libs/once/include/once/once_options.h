#pragma once

#include <chrono>
#include <cstddef>

namespace trefoil {

/// Limits of at-most-once execution. Every node of a service must use the same times.
struct once_options {
    /// How long a repeat of an id is recognised.
    std::chrono::milliseconds id_lifetime{30'000};
    /// Largest difference between the wall clocks of any two nodes. Callers' clocks need no bound.
    std::chrono::milliseconds clock_skew{500};
    /// Time for which a grant of a peer counts, from the sending of the request.
    std::chrono::milliseconds lease{4'000};
    /// Extra time for which the granting side holds a grant. It covers monotonic clocks whose rates
    /// differ by up to 1%.
    std::chrono::milliseconds lease_drift{20};
    /// After this time without news of an older list, its members that are no longer listed are
    /// taken as gone; also the wait of a service that starts as a whole.
    std::chrono::milliseconds old_list_timeout{30'000};
    /// Peers asked beyond the majority, so that one slow peer does not end the lease.
    std::size_t spare_peers = 1;
    /// Older member lists remembered and reported.
    std::size_t max_lists = 16;

    std::size_t ledger_shards = 16;
    /// Entries of the ledger over all shards; at most half of them record refusals.
    std::size_t ledger_entries = 32'768;
    /// A larger answer is not stored, and a repeat of its id is answered `unknown`.
    std::size_t max_answer_bytes = 16'384;
    /// Stored answers over all shards.
    std::size_t ledger_answer_bytes = 8'388'608;
};

} // namespace trefoil
