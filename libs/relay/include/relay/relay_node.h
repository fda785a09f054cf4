#pragma once

#include "call_io/asio.h"
#include "dispatch/target_entry.h"
#include "dispatch/traffic_config.h"
#include "metrics/metrics.h"
#include "relay/published_changes.h"
#include "relay/relay_settings.h"
#include "spread/gossip_member.h"
#include "spread/state_version.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace trefoil {

/// Callbacks through which the node exchanges published state with other nodes.
struct peer_state_exchange {
    /// Returns the state version that this node attaches to its messages.
    std::function<state_version()> own_version;
    /// Handles the state version in a peer's message. Returns true if the peer's changes are to be
    /// requested.
    std::function<bool(const state_version&)> peer_version;
    /// Applies a peer's changes. Returns what is to be requested from the peer.
    std::function<state_need(const published_changes&)> received;
    /// Returns the changes that a peer with this version and configuration does not have.
    std::function<published_changes(const published_version& known, config_version config)>
        changes_since;
    /// Returns the version of the configuration in force.
    std::function<config_version()> own_config;
};

/// The proxy beside one target. Forwards requests from callers on its VM to targets of the
/// requested service, and requests from other nodes to its local target.
class relay_node {
public:
    /// Binds the ports. Throws boost::system::system_error if a port is in use.
    relay_node(asio::io_context& context, relay_settings settings);
    ~relay_node();
    relay_node(const relay_node&) = delete;
    relay_node& operator=(const relay_node&) = delete;

    /// Must be called before `start`.
    void set_state_exchange(peer_state_exchange exchange);

    void start();

    /// Applies a configuration; ignored unless its version is newer than the current one.
    void set_config(traffic_config config);

    void put_target(const target_entry& entry);
    void remove_target(const std::string& id);
    /// Reports that the store became available or unavailable.
    void set_store_available(bool available);
    /// Reports that the store has returned from an older copy, in which entries may be missing.
    void on_store_returned();

    /// Requests published changes and crash records from the node at the address.
    void request_state(const std::string& address);
    /// Requests published changes from any node with an open connection to this one; does nothing
    /// if there is none.
    void request_state_of_any();
    /// Pushes changes to the node at the address.
    void push_state(const std::string& address, const published_changes& changes);

    /// Returns the nodes of all known targets, including this node if its target is known.
    gossip_members members() const;
    /// Returns for how long targets whose entries are missing are still kept after an outage.
    std::chrono::milliseconds confirmation_time_left() const;
    /// Keeps such targets for the time that another node reported.
    void extend_confirmation(std::chrono::milliseconds left);

    /// Returns the metrics served on the metrics page.
    metrics& counters() noexcept;

    /// Reports not ready, finishes the requests in progress and then runs `done`, at the latest
    /// shortly before the grace time ends.
    void drain(std::function<void()> done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
