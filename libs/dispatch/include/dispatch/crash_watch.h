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

/// Tuning of a crash_watch.
struct crash_watch_options {
    /// Crashes after which a content is held back. One or two may be chance: a crash takes along
    /// all that its target was running.
    std::size_t crashes = 3;
    /// How long a content counts as served, and how long it is held back at first. Far longer than
    /// a target takes to start again, and than callers keep trying.
    std::chrono::seconds memory{60};
    /// How long crashes count together, from the latest on, as in crash_suspects. A content that is
    /// still sent after it was held back is held back for twice as long with each further crash, up
    /// to this.
    std::chrono::seconds retention{600};
    /// Time from the crash that makes a content suspect until it is held back. In it the other
    /// nodes may say that a target served the content. Several round trips.
    std::chrono::milliseconds answer_time{300};
    /// Bound on the contents of which crashes are known.
    std::size_t capacity = 3072;
    /// Bound on the contents that were served: three fingerprints for each of the requests that a
    /// target serves within `memory`.
    std::size_t served_capacity = 12288;
};

/// Which contents of requests crash the targets that run them.
///
/// Load pattern: one request crashes each target that begins to run it, and callers send it again
/// at any node, also while nodes are restarted or replaced. Other requests that were running are
/// lost with each crash, and are not the cause.
///
/// Every node keeps the records of all crashes and takes over those of the others, in any order and
/// more than once, so that a record is lost only with all nodes that have it. Each node decides by
/// itself from its records.
class crash_watch {
public:
    explicit crash_watch(crash_watch_options options = {}) : options_(options) {}

    /// A target answered a request with this content: its crashes no longer count.
    void served(content_fingerprint content, mono_time now);
    bool was_served(content_fingerprint content, mono_time now) const;

    /// A target crashed with this content running. True if that makes the content suspect and its
    /// crashes count, so that all nodes are to be asked whether they served it.
    bool crashed(content_fingerprint content, std::uint64_t crash, mono_time now);

    /// A target served the content. False if nothing changed.
    bool release(content_fingerprint content);

    /// Takes over what another node knows.
    void merge(const content_crash& told, mono_time now);

    /// The crashes to tell other nodes; those of contents with most crashes, then of the latest.
    std::vector<content_crash> crashes(mono_time now) const;

    /// Identifies what `crashes` tells; 0 if there are none. Equal at nodes that know the same.
    std::uint64_t digest(mono_time now) const;

    /// Crashes that count for the content.
    std::size_t crashes_of(content_fingerprint content) const;

    /// Time until the content may be tried again; none if it is not held back.
    std::optional<std::chrono::milliseconds> held_back(content_fingerprint content,
                                                       mono_time now) const;

    /// Contents of which crashes are known, and those of them that have enough to be held back.
    std::size_t known() const noexcept { return histories_.size(); }
    std::size_t suspects() const noexcept { return suspects_.size(); }

private:
    struct sighting {
        std::uint64_t crash = 0;
        mono_time at;
        bool released = false;
    };

    struct history {
        std::vector<sighting> crashes;

        std::size_t counted() const;
        /// When the last of so many crashes that count happened.
        mono_time time_of(std::size_t count) const;
        mono_time last() const;
        bool add(const sighting& s);
        bool release();
    };

    using history_map = std::unordered_map<content_fingerprint, history>;

    /// Adds a crash. False if it is known or there is no room.
    bool add(content_fingerprint content, const sighting& s, mono_time now);
    /// Drops what is too old and, if there is no room, the records that matter least.
    void make_room(mono_time now);
    void note_changed(content_fingerprint content, const history& h);
    /// How long a content with so many crashes is held back.
    std::chrono::seconds hold_time(std::size_t crashes) const;
    /// The entries to tell others, in order.
    std::vector<const history_map::value_type*> told(mono_time now) const;

    crash_watch_options options_;
    using served_list = std::list<std::pair<mono_time, content_fingerprint>>;

    /// Contents in order of the last time that they were served.
    served_list served_order_;
    std::unordered_map<content_fingerprint, served_list::iterator> served_;
    history_map histories_;
    /// Contents with as many crashes as are needed to hold them back.
    std::unordered_set<content_fingerprint> suspects_;
};

} // namespace trefoil
