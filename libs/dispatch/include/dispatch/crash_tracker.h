#pragma once

#include "base/time.h"
#include "dispatch/content_crash.h"
#include "quarantine/content_fingerprint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace trefoil {

/// Tuning of a crash_tracker.
struct crash_tracker_options {
    /// Number of crashes after which a content is quarantined. One or two may be coincidence, since
    /// a crash ends all requests that its target was running.
    std::size_t crashes = 3;
    /// How long a content counts as served, and the initial quarantine time. Much longer than a
    /// target takes to restart and than callers keep retrying.
    std::chrono::seconds initial_quarantine{60};
    /// The crashes of a content are dropped this long after the latest one, as in crash_suspects.
    /// Also the upper limit of the quarantine time, which doubles with each further crash of a
    /// content that is sent again after its quarantine.
    std::chrono::seconds retention{600};
    /// Time from the crash that makes a content suspect until it is quarantined. Within it the
    /// other nodes may report that a target served the content. Several round trips long.
    std::chrono::milliseconds quarantine_delay{300};
    /// Maximum number of contents with recorded crashes.
    std::size_t capacity = 3072;
    /// Maximum number of contents recorded as served: three fingerprints for each request that a
    /// target serves within `initial_quarantine`.
    std::size_t served_capacity = 12288;
};

/// Detects request contents that crash the targets that run them.
///
/// Load pattern: one request crashes every target that starts to run it, and callers retry it at
/// any node, also while nodes are restarted or replaced. Other requests that are running at a crash
/// fail with it but are not its cause.
///
/// Every node keeps the records of all crashes and merges those of the other nodes. Merging does
/// not depend on the order of the records and is idempotent, so that a record is lost only if all
/// nodes that have it are lost. Each node decides independently from its records.
class crash_tracker {
public:
    explicit crash_tracker(crash_tracker_options options = {}) : options_(options) {}

    /// Records that a target answered a request with this content, so that its crashes no longer
    /// count.
    void served(content_fingerprint content, mono_time now);
    /// Whether this node recorded the content as served within `initial_quarantine`.
    bool was_served(content_fingerprint content, mono_time now) const;

    /// Records that a target crashed while it ran this content. `crash` identifies the crash.
    /// True if the crash is new and the content is now suspect, so that all nodes must be asked
    /// whether a target served it.
    bool crashed(content_fingerprint content, std::uint64_t crash, mono_time now);

    /// Marks all recorded crashes of the content as released, because a target served it. False if
    /// nothing changed.
    bool release(content_fingerprint content);

    /// Merges a crash that another node reported.
    void merge(const content_crash& reported, mono_time now);

    /// The crashes to report to other nodes, at most those of 256 contents: the contents with the
    /// most crashes first, then those with the latest crash.
    std::vector<content_crash> crashes(mono_time now) const;

    /// Digest of the result of `crashes`; 0 if it is empty. Equal on nodes with the same records.
    std::uint64_t digest(mono_time now) const;

    /// Number of crashes of the content that were not released.
    std::size_t crash_count(content_fingerprint content) const;

    /// Time until the content may be sent again; none if it is not quarantined.
    std::optional<std::chrono::milliseconds> quarantine_left(content_fingerprint content,
                                                             mono_time now) const;

    /// Number of contents with recorded crashes.
    std::size_t known() const noexcept { return histories_.size(); }
    /// Number of contents with enough crashes to be quarantined.
    std::size_t suspects() const noexcept { return suspects_.size(); }

private:
    struct observation {
        std::uint64_t crash = 0;
        mono_time at;
        bool released = false;
    };

    struct history {
        std::vector<observation> crashes;

        std::size_t counted() const;
        /// Time of the crash with this ordinal (from 1), in order of time, among those not
        /// released.
        mono_time time_of(std::size_t count) const;
        mono_time last() const;
        bool add(const observation& s);
        bool release();
    };

    using history_map = std::unordered_map<content_fingerprint, history>;

    /// Adds a crash, or updates it if it is already recorded. False if the crash was not added and
    /// its release state did not change.
    bool add(content_fingerprint content, const observation& s, mono_time now);
    /// If the table is full, drops contents past their retention. If it is still full, drops the
    /// half with the fewest crashes, and among equals the oldest.
    void make_room(mono_time now);
    /// Updates the set of suspects after a change of the content's crashes.
    void update_suspect(content_fingerprint content, const history& h);
    /// Quarantine time of a content with this number of crashes.
    std::chrono::seconds quarantine_time(std::size_t crashes) const;
    /// The entries to report to other nodes, in order.
    std::vector<const history_map::value_type*> entries_to_report(mono_time now) const;

    crash_tracker_options options_;
    using served_list = std::list<std::pair<mono_time, content_fingerprint>>;

    /// Contents by the last time that they were served, the oldest first.
    served_list served_order_;
    std::unordered_map<content_fingerprint, served_list::iterator> served_;
    history_map histories_;
    /// Contents with enough crashes to be quarantined.
    std::unordered_set<content_fingerprint> suspects_;
};

} // namespace trefoil
