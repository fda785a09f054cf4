#pragma once

#include "base/time.h"
#include "spread/peer_picker.h"
#include "spread/random_source.h"
#include "spread/spread_mark.h"
#include "spread/spread_member.h"
#include "spread/state_lag.h"
#include "spread/watcher_choice.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace trefoil {

/// Tuning of a revision_spread. A change must reach every node within the two seconds that the
/// shortest bounds of known deployments allow, also when all watchers die as it is made.
struct revision_spread_options {
    /// Three watchers in all bear the loss of any two machines without a takeover. The first node
    /// takes over about 50 ms after the silence, at any size: nodes draw from a window that grows
    /// with their number. Changes wait for the pause of the first of three watchers, a quarter of
    /// it in the mean. Nodes that start call at once: without the store they serve nothing. While
    /// the store is empty few of them watch: targets register in some seconds, and a node is told
    /// by others as soon as its own target is known.
    watcher_options watcher{
        .watchers_in_all = 3,
        .answers_everything = true,
        .silence = std::chrono::milliseconds(1000),
        .pause = std::chrono::milliseconds(300),
        .first_retry = std::chrono::milliseconds(150),
        .first_retry_without_list = std::chrono::milliseconds(300),
        .longest_retry = std::chrono::milliseconds(800),
        .takeover_calls_per_second = 20.0,
        .longest_takeover_window = std::chrono::minutes(5),
        .start_window = std::chrono::milliseconds(50),
        .empty_list_window = std::chrono::seconds(3),
    };
    /// Time between pulls of a node that hears of fresh contact by other messages.
    std::chrono::milliseconds pull_interval{500};
    /// Contact older than this makes a node ask a chosen watcher, so that none takes over only
    /// because messages are few. Half of the silence leaves time for several questions.
    std::chrono::milliseconds doubt{500};
    /// Time between the questions of a node in doubt.
    std::chrono::milliseconds doubt_interval{150};
    /// Time that a change which a peer already has gets to arrive by a push. A push crosses a zone
    /// in a few tens of milliseconds.
    std::chrono::milliseconds push_patience{100};
    /// The same for a node that watches: a watch brings a change within a few pauses.
    std::chrono::milliseconds watch_patience{600};
    /// Peers of the own zone to which a node passes each change on; one that has it from the store
    /// also passes it to a peer of every other zone. What all copies miss is asked for.
    std::size_t push_count = 3;
};

/// Decides who reads a store with one revision counter, and how the other nodes learn of changes.
///
/// Load pattern: hundreds of nodes need each change within two seconds, while each call to the
/// store costs, and a store that returns must not be called by all of them at once. A few nodes,
/// chosen by hash, watch the store. A change goes on by pushes inside each zone. Every message
/// between nodes carries the sender's revision and the age of the last contact with the store, so
/// that a node that a push missed asks for the change, and nodes that hear of no contact take over.
/// Not thread-safe.
class revision_spread {
public:
    revision_spread(const spread_member& self, mono_time started,
                    revision_spread_options options = {});

    /// The nodes known at present. An empty list changes nothing: it names nobody to ask.
    void set_members(spread_members members);

    /// When this node is to call the store next; none if others do. Ask again after each event and
    /// at each `tick_interval`, but not while a call is in progress.
    std::optional<mono_time> next_call(mono_time now);
    static constexpr std::chrono::milliseconds tick_interval{100};

    /// A watch began that the store answers after `wait` at the latest. Until then it counts as
    /// contact.
    void watch_started(std::chrono::milliseconds wait, mono_time now);
    void call_answered(mono_time now);
    void call_failed(mono_time now);

    /// What messages of this node say, whose state is complete at `revision`.
    spread_mark mark(std::uint64_t revision, mono_time now);

    /// A message of a peer said this; `own` is the revision of this node. True if the peer is to be
    /// asked for its changes.
    bool received(const spread_mark& theirs, std::uint64_t own, mono_time now);

    /// The peer to ask now without a reason of its own; none if it is not time.
    std::optional<vm_name> next_pull(mono_time now);

    /// Peers to which a change that this node just learned goes on; `from_store` if it was read
    /// there.
    std::vector<vm_name> push_targets(bool from_store);

    /// Whether contact with the store is recent enough to say that it is available.
    bool has_contact(mono_time now);

    bool is_chosen() const noexcept { return watcher_.is_chosen(); }

private:
    void note_open_watch(mono_time now);
    bool is_in_doubt(mono_time now);

    spread_member self_;
    revision_spread_options options_;
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
    mono_time last_heard_;
};

} // namespace trefoil
