#pragma once

#include "base/time.h"
#include "quarantine/content_fingerprint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoil {

/// Tuning of a crash_watch.
struct crash_watch_options {
    /// Crashes after which a content is held back. One or two may be chance: a crash takes along
    /// all that its target was running.
    std::size_t crashes = 3;
    /// Time in which crashes count together, and for which a content is held back. Far longer than
    /// a target takes to start again, and than callers keep trying.
    std::chrono::seconds memory{60};
    /// Time for the other nodes to say that a target served the content. Several round trips.
    std::chrono::milliseconds answer_time{300};
    /// Bound on each kind of entry; the oldest are dropped.
    std::size_t capacity = 4096;
};

/// Which contents of requests crash the targets that run them.
///
/// Load pattern: one request crashes each target that begins to run it, and callers send it again
/// at any node. Other requests that were running are lost with each crash, and are not the cause.
/// The nodes that such a content is assigned to count its crashes over all targets. At the bound
/// they ask all nodes whether a target served the content, which clears it; if none did, all nodes
/// hold it back.
class crash_watch {
public:
    explicit crash_watch(crash_watch_options options = {}) : options_(options) {}

    /// A target answered a request with this content.
    void served(content_fingerprint content, mono_time now);
    bool was_served(content_fingerprint content, mono_time now) const;

    /// A target crashed with this content running; `crash` identifies the crash. True if all nodes
    /// are to be asked whether they served the content.
    bool crashed(content_fingerprint content, std::uint64_t crash, mono_time now);

    /// Crashes that count for the content.
    std::size_t crashes_of(content_fingerprint content) const;

    /// Another node served the content.
    void cleared(content_fingerprint content);

    /// Contents that nobody served in time; all nodes are to hold them back for `memory`.
    std::vector<content_fingerprint> due(mono_time now);

    /// When to ask `due` again.
    std::optional<mono_time> next_due() const;

    void hold_back(content_fingerprint content, std::chrono::milliseconds left, mono_time now);

    /// Time until the content may be tried again; none if it is not held back.
    std::optional<std::chrono::milliseconds> held_back(content_fingerprint content,
                                                       mono_time now) const;

    /// False: no content is held back, so that there is none to compare.
    bool holds_any() const noexcept { return !held_until_.empty(); }

    std::chrono::milliseconds memory() const { return options_.memory; }

private:
    struct suspect {
        std::set<std::uint64_t> crashes;
        mono_time first;
        /// While the other nodes are asked.
        std::optional<mono_time> asked_until;
    };

    /// Makes room for one more suspect.
    void drop_oldest();

    crash_watch_options options_;
    using served_list = std::list<std::pair<mono_time, content_fingerprint>>;

    /// Contents in order of the last time that they were served.
    served_list served_order_;
    std::unordered_map<content_fingerprint, served_list::iterator> served_;
    std::unordered_map<content_fingerprint, suspect> suspects_;
    std::unordered_map<content_fingerprint, mono_time> held_until_;
};

} // namespace trefoil
