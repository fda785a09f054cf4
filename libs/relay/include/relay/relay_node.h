#pragma once

#include "call_io/asio.h"
#include "dispatch/target_entry.h"
#include "dispatch/traffic_config.h"
#include "relay/published_changes.h"
#include "relay/relay_settings.h"
#include "spread/spread_mark.h"
#include "spread/spread_member.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace trefoil {

/// How the node exchanges published items with other nodes.
struct peer_state_exchange {
    /// What this node's messages say of its state.
    std::function<spread_mark()> own_mark;
    /// What a peer's message said. True if the peer is to be asked for its changes.
    std::function<bool(const spread_mark&)> peer_mark;
    /// Takes over a peer's changes. True if some before them are missing.
    std::function<bool(const published_changes&)> received;
    /// The changes that a peer with this revision lacks.
    std::function<published_changes(std::uint64_t known)> changes_since;
};

/// A node in front of one target: takes requests from callers on its VM to targets of their
/// service, and requests from other nodes to its own target.
class relay_node {
public:
    /// Opens the ports. Throws boost::system::system_error if one is not free.
    relay_node(asio::io_context& context, relay_settings settings);
    ~relay_node();
    relay_node(const relay_node&) = delete;
    relay_node& operator=(const relay_node&) = delete;

    /// Must be set before `start`.
    void set_state_exchange(peer_state_exchange exchange);

    void start();

    /// Puts a configuration in force unless a newer one is.
    void set_config(traffic_config config);

    void put_target(const target_entry& entry);
    void remove_target(const std::string& id);
    /// The store stopped or began to answer.
    void set_store_available(bool available);

    /// Asks the node at the address for published changes.
    void request_state(const std::string& address);
    /// Asks any node that is connected to this one; nothing if there is none.
    void request_state_of_any();
    /// Passes changes on to the node at the address.
    void push_state(const std::string& address, const published_changes& changes);

    /// Nodes beside known targets, this one included if its target is known.
    spread_members members() const;
    /// How long targets whose entries are missing are kept.
    std::chrono::milliseconds confirm_left() const;
    /// Keeps them for as long as another node does.
    void confirm_for(std::chrono::milliseconds left);

    /// Stops to be ready, finishes the requests in progress and runs `done`, at the latest shortly
    /// before the grace time ends.
    void drain(std::function<void()> done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
