#pragma once

#include "base/time.h"
#include "spread/gossip_member.h"
#include "spread/random_source.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace trefoil {

struct watcher_options {
    std::size_t watchers_per_zone = 2;
    /// If not 0, replaces watchers_per_zone: the total number of watchers, in as many zones as
    /// possible.
    std::size_t total_watchers = 0;
    /// The platform answers a call with everything that it publishes. Otherwise a node that is not
    /// chosen makes a second call at its start, for the other value.
    bool answers_everything = false;
    /// Time without a confirmed platform contact, own or reported, after which a node that is not
    /// chosen watches as well.
    std::chrono::nanoseconds contact_timeout = std::chrono::seconds(10);
    /// Pause after an answered call, so that a platform that answers a watch at once is not called
    /// in a tight loop. A change made meanwhile is answered by the next call.
    std::chrono::nanoseconds pause = std::chrono::milliseconds(500);
    /// Mean delay after the first failed call of a chosen watcher; doubles with each failure.
    std::chrono::nanoseconds initial_retry_delay = std::chrono::seconds(1);
    /// The same for a node without a list, which can serve no call and knows no peer to ask.
    /// 2,400 such nodes make 1,200 calls/s, below the platform's 2,000.
    std::chrono::nanoseconds initial_retry_delay_without_list = std::chrono::seconds(2);
    /// Maximum mean delay after a failed call. Nodes that are not chosen use it from the first
    /// failure, or the takeover window if that is longer. Every delay is drawn from 0.5 to 1.5
    /// times its mean.
    std::chrono::nanoseconds max_retry_delay = std::chrono::seconds(30);
    /// Nodes that take over distribute their first calls over a window of members / this rate, at
    /// most max_takeover_window. 2,400 nodes with one call per 30 s each make 80 calls/s.
    double takeover_calls_per_second = 80.0;
    std::chrono::nanoseconds max_takeover_window = std::chrono::seconds(30);
    /// The same window for a node that receives no messages: no other node can take over for it.
    std::chrono::nanoseconds isolated_takeover_window = std::chrono::seconds(1);
    /// A node without a list draws its first call from this window, so that a cold start of 2,400
    /// nodes stays below the platform's 2,000 calls/s.
    std::chrono::nanoseconds start_window = std::chrono::seconds(2);
    /// Window from which a node whose first calls returned an empty list draws its next call. If 0,
    /// start_window is used, which has passed by then, so that the delay is only `pause`.
    std::chrono::nanoseconds empty_list_window = std::chrono::seconds(0);
};

/// A planned call or pair of calls to the platform.
struct watch_round {
    /// Due immediately if in the past.
    mono_time at;
    /// Watch configuration and list at the same time. Otherwise only one of them in turn, the list
    /// first, so that a round during an outage is one call.
    bool both = false;
};

/// Names of the chosen watchers of one availability zone, by rendezvous hash over the members.
std::vector<vm_name> chosen_watchers(const gossip_members& members,
                                     const availability_zone_name& zone, std::size_t count);

/// Names of the chosen watchers of all zones, by the same hash.
std::vector<vm_name> chosen_watchers(const gossip_members& members, const watcher_options& options);

/// Decides whether and when this node calls the platform. Not thread-safe.
class watcher_choice {
public:
    watcher_choice(gossip_member self, mono_time started, watcher_options options = {});

    /// Sets the live members of the accepted VM list, or of a list for which version_guard returned
    /// `waiting`. Until the first call the node watches, since it knows no peer to ask.
    void set_members(const gossip_members& members);

    /// This node's own call was answered (304 included).
    void call_answered(mono_time now);
    /// This node's own call failed or was refused.
    void call_failed(mono_time now, random_source& random);
    /// Records the age of the last confirmed platform contact known to a peer.
    void contact_reported(std::chrono::nanoseconds age, mono_time now);

    /// Sets whether this node has received no message of another node for `contact_timeout`.
    void set_isolated(bool isolated);

    /// Whether this node is one of the watchers chosen by hash.
    bool is_chosen() const noexcept { return chosen_; }

    /// Returns the next round of calls; empty if none is planned. To be queried after each event
    /// and at least once a second, but not while a round is in progress.
    std::optional<watch_round> next_round(mono_time now, random_source& random);

    /// Age of the last confirmed contact known to this node; empty if there was none.
    std::optional<std::chrono::nanoseconds> contact_age(mono_time now) const noexcept;

private:
    std::optional<watch_round> plan_round(mono_time now, random_source& random);
    bool is_contact_expired(mono_time now) const noexcept;
    std::chrono::nanoseconds takeover_window() const noexcept;

    gossip_member self_;
    watcher_options options_;
    mono_time started_;
    /// 0 until the first list is set.
    std::size_t member_count_ = 0;
    bool chosen_ = false;
    std::optional<mono_time> last_contact_;
    /// First call of a node without a list or of one that takes over.
    std::optional<mono_time> first_call_;
    mono_time not_before_;
    std::size_t failures_ = 0;
    bool last_round_both_ = false;
    /// This node took over with a call for one value, which was answered; the other value must
    /// still be read.
    bool follow_up_ = false;
    bool isolated_ = false;
    bool was_answered_ = false;
};

} // namespace trefoil
