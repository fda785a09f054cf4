#pragma once

#include "call_io/asio.h"
#include "dispatch/target_entry.h"
#include "dispatch/traffic_config.h"
#include "relay/published_item.h"
#include "relay/relay_settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace trefoil {

/// How the node exchanges published items with other nodes.
struct peer_state_exchange {
    /// Items known here, with the revision of the newest change; empty if nothing is newer.
    std::function<std::vector<published_item>(std::uint64_t known, std::uint64_t& newest)> items;
    /// Whether the store is read at present.
    std::function<bool()> is_live;
    /// A peer's items, complete at `newest`.
    std::function<void(const std::vector<published_item>&, std::uint64_t newest, bool live)>
        received;
    /// Revision of the newest change known here.
    std::function<std::uint64_t()> known;
    /// A peer knows changes up to the revision. True if it is to be asked for its items.
    std::function<bool(std::uint64_t revision)> seen;
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

    /// Asks a connected peer for its published items. False if there is none.
    bool request_peer_state(std::uint64_t known_revision);

    /// Stops to be ready, finishes the requests in progress and runs `done`, at the latest shortly
    /// before the grace time ends.
    void drain(std::function<void()> done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
