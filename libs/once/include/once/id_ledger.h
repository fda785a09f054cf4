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

/// What a node remembers of an id.
enum class id_state : std::uint8_t {
    absent,     ///< Nothing.
    refused,    ///< Answered `not-run`; only sends with at least the recorded attempt may run.
    handed_off, ///< Given to the upstream, no answer yet.
    finished,   ///< Answered by the upstream.
    lost,       ///< Given to the upstream; whether it ran is not known.
};

/// Result of a look-up.
struct ledger_entry {
    id_state state = id_state::absent;
    /// For refused: lowest attempt that may still run.
    std::uint32_t attempt = 0;
    /// For finished; null if the answer was too large to store.
    stored_answer answer;

    /// True if a send with this attempt may be handed off.
    bool may_run(send_attempt sent) const noexcept;
};

/// The ids that this node handed off. Thread-safe: sharded by id, with one lock for each shard.
///
/// `expires` is the time at which the id lifetime ends. Entries stay for twice the clock skew
/// longer, since a wall clock that is set back makes an id look younger.
class id_ledger {
public:
    explicit id_ledger(const once_options& options);
    ~id_ledger();
    id_ledger(const id_ledger&) = delete;
    id_ledger& operator=(const id_ledger&) = delete;

    ledger_entry find(const request_id& id) const;

    /// Records a hand-off if may_run() holds for the entry, in one step, so that of two concurrent
    /// repeats only one succeeds. Returns the entry found before; absent with `full` set if there
    /// was no room.
    struct begin_result {
        bool recorded = false;
        bool full = false;
        ledger_entry found;
    };
    begin_result begin(const request_id& id, send_attempt attempt, mono_time expires,
                       mono_time now);

    /// Records that sends below `attempt` must not run, if the id was not handed off. Returns
    /// whether that is now recorded.
    bool refuse(const request_id& id, std::uint32_t attempt, mono_time expires, mono_time now);

    /// Stores the upstream's answer for a handed-off or lost id.
    void finish(const request_id& id, std::string answer);
    /// The hand-off did not start: sends of at least the same attempt may run. Returns false if the
    /// id is not recorded as handed off.
    bool not_started(const request_id& id);
    /// The outcome of the hand-off is not known.
    void lost(const request_id& id);

    std::size_t size() const;
    std::size_t answer_bytes() const noexcept;

private:
    struct shard;
    struct totals;
    shard& shard_of(const request_id& id) const;

    std::unique_ptr<totals> totals_;
    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace trefoil
