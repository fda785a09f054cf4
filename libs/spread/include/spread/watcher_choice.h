#pragma once

#include "base/time.h"
#include "spread/random_source.h"
#include "spread/spread_member.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace trefoil {

struct watcher_options {
    std::size_t watchers_per_zone = 2;
    /// A node that has heard of no confirmed platform contact for this long watches as well.
    std::chrono::nanoseconds silence = std::chrono::seconds(10);
    /// Delay after the first failed call of a chosen watcher; doubles with each further failure.
    std::chrono::nanoseconds first_retry = std::chrono::seconds(1);
    /// Longest mean delay between calls while the platform does not answer.
    std::chrono::nanoseconds longest_retry = std::chrono::seconds(30);
    /// Nodes that take over spread their first calls so that all nodes together make about this
    /// many calls per second. 2,400 nodes at one call each 30 s make 80.
    double takeover_calls_per_second = 80.0;
};

/// Names of the chosen watchers of one availability zone, by rendezvous hash over the members.
std::vector<vm_name> chosen_watchers(const spread_members& members,
                                     const availability_zone_name& zone, std::size_t count);

/// Decides whether and when this node calls the platform. Not thread-safe.
class watcher_choice {
public:
    watcher_choice(spread_member self, mono_time started, watcher_options options = {});

    /// Members of the accepted VM list. Before the first list this node is alone and thus a
    /// watcher, unless a peer reports platform contact.
    void set_members(const spread_members& members);

    /// This node's own call was answered (304 included).
    void call_answered(mono_time now);
    /// This node's own call failed or was refused.
    void call_failed(mono_time now, random_source& random);
    /// A peer reported the age of the last confirmed platform contact it knows of.
    void contact_reported(std::chrono::nanoseconds age, mono_time now);

    /// One of the nodes chosen by hash.
    bool is_chosen() const noexcept { return chosen_; }

    /// When this node should call the platform next; in the past or `now`: at once. Empty: not at
    /// all. Ask again after each event and at least once a second.
    std::optional<mono_time> next_call(mono_time now, random_source& random);

    /// Age of the last confirmed contact known to this node; empty if there was none.
    std::optional<std::chrono::nanoseconds> contact_age(mono_time now) const noexcept;

private:
    bool is_silent(mono_time now) const noexcept;
    std::chrono::nanoseconds takeover_window() const noexcept;

    spread_member self_;
    watcher_options options_;
    mono_time started_;
    std::size_t member_count_ = 1;
    bool chosen_ = true;
    std::optional<mono_time> last_contact_;
    std::optional<mono_time> takeover_at_;
    mono_time not_before_{};
    std::size_t failures_ = 0;
};

} // namespace trefoil
