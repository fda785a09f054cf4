#pragma once

#include "base/time.h"
#include "dispatch/content_scopes.h"
#include "dispatch/target_entry.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoil {

/// Tuning of a target_watch.
struct target_watch_options {
    /// How long a request that got no answer may have been what ended the target. Targets are back
    /// some seconds after a crash, and their entry a little later.
    std::chrono::seconds memory{10};
    /// A target that says nothing for this long while it has requests is looked at. Longer than
    /// most requests run.
    std::chrono::milliseconds silence{1000};
    /// A target does not start, publish its entry and have it read in less time. Requests handed
    /// over later may be with the new target.
    std::chrono::milliseconds least_start{1000};
};

/// Finds out that the own target crashed, and which requests it may have been running.
///
/// Load pattern: a target that crashes resets its connections, or falls silent with them; it is
/// back after some seconds, or so soon that no look finds it gone. Its requests meanwhile end
/// without an answer: broken off, at their deadline, or given up by their callers.
class target_watch {
public:
    using contents = std::vector<content_scopes>;

    explicit target_watch(target_watch_options options = {}) : options_(options) {}

    /// A request was handed over.
    void started(std::uint64_t ticket, const content_scopes& content, mono_time now);
    /// The target sent an answer, whatever its worth.
    void answered(std::uint64_t ticket, mono_time now);
    /// The request did not reach the target.
    void withdrawn(std::uint64_t ticket) { running_.erase(ticket); }
    /// The request ended without an answer. Ignored if it was already among those of a crash.
    void unanswered(std::uint64_t ticket, mono_time now);

    /// The target is to be looked at, since it says nothing. True once for each silence.
    bool is_silent(mono_time now);

    /// The target took no connection: it is gone. Returns what it may have been running.
    contents gone(mono_time now);

    /// This target is there now. Returns what an earlier one may have been running when it ended;
    /// nothing if that one announced that it leaves. `start` is 0 where it is not known.
    contents seen(const target_id& id, bool leaving, mono_time now);

private:
    struct run {
        content_scopes content;
        mono_time since;
    };

    bool is_earlier(const target_id& id) const;
    /// Takes what ended without an answer, the latest first, and what has been running for so long.
    contents take(std::chrono::milliseconds running_for, mono_time now);

    target_watch_options options_;
    std::unordered_map<std::uint64_t, run> running_;
    /// Requests that ended without an answer, in order of that time.
    std::deque<std::pair<mono_time, content_scopes>> unanswered_;
    std::optional<target_id> current_;
    bool is_leaving_ = false;
    /// Ids of earlier targets, the latest last; their entries may still come.
    std::deque<std::string> earlier_;
    /// Since when the target has said nothing.
    mono_time quiet_since_;
    bool is_looked_at_ = false;
};

} // namespace trefoil
