#pragma once

#include "base/request_id.h"
#include "base/time.h"
#include "once/once_options.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

/// The caller's `trefoil-attempt`; absent if it did not state one.
using send_attempt = std::optional<std::uint32_t>;

/// Stored bytes of an answer, opaque to this library.
using stored_answer = std::shared_ptr<const std::string>;

/// State that a node records for a request id.
enum class id_state : std::uint8_t {
    absent,     ///< Not recorded.
    refused,    ///< Answered `not-run`; only sends with at least the recorded attempt may run.
    handed_off, ///< Handed off to the upstream, no answer yet.
    finished,   ///< Answered by the upstream.
    unknown,    ///< Handed off to the upstream; whether it ran is not known.
};

/// Record of one request id.
struct ledger_entry {
    id_state state = id_state::absent;
    /// Lowest attempt that may still run, in state `refused`.
    std::uint32_t attempt = 0;
    /// Set in state `finished`; null if the answer was not stored for lack of room.
    stored_answer answer;

    /// True if a send with this attempt may be handed off.
    bool may_run(send_attempt sent) const noexcept;
};

/// Request ids that this node handed off or refused, used to detect repeated sends. Thread-safe:
/// sharded by id, with one lock per shard.
///
/// `expires` is the end of the id's lifetime. Entries are kept for twice the clock skew beyond it,
/// since an id looks younger after a wall clock has been set back.
class id_ledger {
public:
    explicit id_ledger(const once_options& options);
    ~id_ledger();
    id_ledger(const id_ledger&) = delete;
    id_ledger& operator=(const id_ledger&) = delete;

    ledger_entry find(const request_id& id) const;

    /// Result of begin(). `found` is the entry before the call; it is absent, with `full` set, if
    /// there was no room for a new entry or the id has expired.
    struct begin_result {
        bool recorded = false;
        bool full = false;
        ledger_entry found;
    };
    /// Records a hand-off if may_run() holds for the entry. The check and the record are one atomic
    /// step, so that only one of two concurrent repeats succeeds.
    begin_result begin(const request_id& id, send_attempt attempt, mono_time expires,
                       mono_time now);

    /// Records that sends below `attempt` must not run. Returns false if the id was handed off, has
    /// expired, or there is no room for the record.
    bool refuse(const request_id& id, std::uint32_t attempt, mono_time expires, mono_time now);

    /// Stores the upstream's answer for a handed-off or lost id.
    void finish(const request_id& id, std::string answer);
    /// Records that the hand-off did not start, so that sends of the same or a higher attempt may
    /// run. Returns false if the id is not recorded as handed off.
    bool record_not_started(const request_id& id);
    /// Records that the outcome of the hand-off is not known.
    void record_unknown_outcome(const request_id& id);

    std::size_t size() const;
    /// Total size of the stored answers.
    std::size_t answer_bytes() const noexcept;

private:
    struct shard;
    struct totals;
    shard& shard_of(const request_id& id) const;

    std::unique_ptr<totals> totals_;
    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace trefoil
