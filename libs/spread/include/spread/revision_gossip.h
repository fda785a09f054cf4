#pragma once

#include "base/time.h"
#include "spread/gossip_member.h"
#include "spread/peer_picker.h"
#include "spread/random_source.h"
#include "spread/state_lag.h"
#include "spread/state_version.h"
#include "spread/watcher_choice.h"

#include <chrono>
#include <optional>
#include <vector>

namespace trefoil {

/// Tuning of a revision_gossip. A change must reach every node within two seconds, the shortest
/// bound of known deployments, even if all watchers terminate at the time of the change.
struct revision_gossip_options {
    /// With three watchers in total, any two machines can fail without a takeover. At any fleet
    /// size the first node takes over about 50 ms after contact_timeout, because the window from
    /// which nodes draw grows with their number. A change waits for the first of three watchers to
    /// end its pause, on average a quarter of the pause. Starting nodes call at once, since they
    /// cannot serve any call without the store. While the store is empty only a few of them watch:
    /// targets register within some seconds, and a node is notified by others as soon as its own
    /// target is known.
    watcher_options watcher{
        .total_watchers = 3,
        .answers_everything = true,
        .contact_timeout = std::chrono::milliseconds(1000),
        .pause = std::chrono::milliseconds(300),
        .initial_retry_delay = std::chrono::milliseconds(150),
        .initial_retry_delay_without_list = std::chrono::milliseconds(300),
        .max_retry_delay = std::chrono::milliseconds(800),
        .takeover_calls_per_second = 20.0,
        .max_takeover_window = std::chrono::minutes(5),
        .start_window = std::chrono::milliseconds(50),
        .empty_list_window = std::chrono::seconds(3),
    };
    /// Mean time between pulls of a node that learns of recent contact from other messages.
    std::chrono::milliseconds pull_interval{500};
    /// Contact age above which a node queries a chosen watcher, so that a low message rate alone
    /// does not cause a takeover. Half of contact_timeout leaves time for several queries.
    std::chrono::milliseconds contact_query_age{500};
    /// Time between these queries.
    std::chrono::milliseconds contact_query_interval{150};
    /// Time to wait for a push of a change that a peer already has, before asking that peer. A push
    /// reaches all nodes of a zone in a few tens of milliseconds.
    std::chrono::milliseconds push_wait_limit{100};
    /// The same for a node with an open watch, which returns a change within a few pauses.
    std::chrono::milliseconds watch_wait_limit{600};
    /// Peers of its own zone to which a node pushes each change. A node that read the change from
    /// the store also pushes it to one peer of every other zone. A node that receives no push pulls
    /// the change.
    std::size_t push_count = 3;
};

/// Decides which nodes read a store with one version counter, and how changes reach the others.
///
/// Load pattern: hundreds of nodes need each change within two seconds, while each call loads the
/// store, and not all nodes may call it at once when it becomes available again. A few nodes,
/// chosen by hash, watch the store. Changes are pushed between the nodes of each zone. Every
/// message between nodes carries the sender's revision and the age of the last contact with the
/// store, so that a node that received no push pulls the change, and nodes to which no recent
/// contact is reported take over. Not thread-safe.
class revision_gossip {
public:
    revision_gossip(const gossip_member& self, mono_time started,
                    revision_gossip_options options = {});

    /// Sets the known nodes. An empty list is ignored, since it names no peer to ask.
    void set_members(gossip_members members);

    /// Returns the time of this node's next call to the store; empty if other nodes watch it. To be
    /// queried after each event and every `tick_interval`, but not while a call is in progress.
    std::optional<mono_time> next_call(mono_time now);
    static constexpr std::chrono::milliseconds tick_interval{100};

    /// Records the start of a watch that the store answers after at most `wait`. Until then the
    /// watch counts as contact.
    void watch_started(std::chrono::milliseconds wait, mono_time now);
    void call_answered(mono_time now);
    void call_failed(mono_time now);

    /// Returns the state version for messages of this node, which has all changes up to `own`.
    state_version version(const published_version& own, mono_time now);

    /// Records the state version in a message of a peer; `own` is the version of this node. Returns
    /// whether to pull changes from that peer.
    bool received(const state_version& theirs, const published_version& own, mono_time now);

    /// Returns the peer for a periodic pull; empty if none is due.
    std::optional<vm_name> next_pull(mono_time now);

    /// Returns the peers to which to push a change that this node just applied. `from_store` states
    /// that the change was read from the store, not received from a peer.
    std::vector<vm_name> push_targets(bool from_store);

    /// Whether the last contact is recent enough to consider the store available.
    bool has_contact(mono_time now);

    bool is_chosen() const noexcept { return watcher_.is_chosen(); }

private:
    void record_open_watch(mono_time now);
    bool is_contact_stale(mono_time now);

    gossip_member self_;
    revision_gossip_options options_;
    random_source random_;
    watcher_choice watcher_;
    peer_picker all_peers_;
    peer_picker zone_peers_;
    peer_picker other_zones_;
    std::size_t other_zone_count_ = 0;
    state_lag lag_;
    std::vector<vm_name> watchers_;
    std::optional<mono_time> open_watch_until_;
    mono_time next_pull_;
    mono_time last_received_;
};

} // namespace trefoil
