#pragma once

#include "base/time.h"
#include "dispatch/content_fingerprints.h"
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

/// Tuning of a target_crash_detector.
struct target_crash_detector_options {
    /// How long a request that ended without a response is regarded as a possible cause of a crash.
    /// Targets restart some seconds after a crash, and publish their entry a little later.
    std::chrono::seconds unanswered_retention{10};
    /// A target that has requests and sends no response for this long is probed. Longer than the
    /// run time of most requests.
    std::chrono::milliseconds silence_timeout{1000};
    /// Minimum time in which a target can restart, publish its entry and have it read by this node.
    /// Requests forwarded less than this time before the new entry is read may be running on the
    /// restarted target.
    std::chrono::milliseconds min_restart_time{1000};
};

/// Detects crashes of the node's own target, and determines which requests it may have been
/// running.
///
/// Load pattern: a target that crashes resets its connections, or stops responding without closing
/// them. It restarts after some seconds, or so soon that no probe finds it terminated. Its requests
/// end without a response: by a connection reset, at their deadline, or cancelled by their callers.
class target_crash_detector {
public:
    /// Fingerprints of the requests that may have caused a crash.
    using request_fingerprints = std::vector<content_fingerprints>;

    explicit target_crash_detector(target_crash_detector_options options = {}) : options_(options)
    {
    }

    /// Records that a request was forwarded to the target.
    void record_started(std::uint64_t ticket, const content_fingerprints& content, mono_time now);
    /// Records that the target sent a response, with any status.
    void record_answered(std::uint64_t ticket, mono_time now);
    /// Removes a request that did not reach the target or was not run by it.
    void record_not_run(std::uint64_t ticket) { running_.erase(ticket); }
    /// Records that a request ended without a response. Ignored if the request was already returned
    /// for a crash.
    void record_unanswered(std::uint64_t ticket, mono_time now);

    /// Whether to probe the target because it does not respond. True once per period of silence.
    bool should_probe(mono_time now);

    /// Records that the target accepts no connections and so has terminated. Returns the requests
    /// that it may have been running.
    request_fingerprints record_terminated(mono_time now);

    /// Records the target that is present now. If it replaces another one, returns the requests
    /// that the earlier target may have been running when it terminated; none if that target had
    /// announced that it leaves. `id.start` is 0 if it is not known.
    request_fingerprints record_present(const target_id& id, bool leaving, mono_time now);

private:
    struct run {
        content_fingerprints content;
        mono_time since;
    };

    /// Whether `id` is the current target or an earlier one, so that it does not indicate a
    /// restart.
    bool is_known_instance(const target_id& id) const;
    /// Removes and returns the requests that ended without a response, the latest first, and those
    /// that have been running for at least `running_for`.
    request_fingerprints take_unanswered(std::chrono::milliseconds running_for, mono_time now);

    target_crash_detector_options options_;
    std::unordered_map<std::uint64_t, run> running_;
    /// Requests that ended without a response, by the time of their end.
    std::deque<std::pair<mono_time, content_fingerprints>> unanswered_;
    std::optional<target_id> current_;
    bool is_leaving_ = false;
    /// Ids of earlier targets, the latest last. Their entries may still be read late.
    std::deque<std::string> earlier_ids_;
    /// Time of the last response, or of the first request after a period without requests.
    mono_time silent_since_;
    /// A probe was requested in the current period of silence.
    bool is_probe_requested_ = false;
};

} // namespace trefoil
