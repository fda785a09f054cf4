#pragma once

#include "node_codec.h"
#include "node_message.h"

#include "base/versions.h"
#include "relay/published_changes.h"
#include "spread/state_version.h"

#include <functional>
#include <optional>
#include <string>

namespace trefoil {

/// Callbacks through which a connection exchanges published state with a peer, and the messages for
/// it.
struct state_handlers {
    /// Returns the state version that this node attaches to its messages.
    std::function<state_version()> own_version;
    /// Handles the state version in a peer's message. Returns true if the peer's changes are to be
    /// requested.
    std::function<bool(const state_version&)> peer_version;
    /// Applies a peer's changes. Returns what is to be requested from the peer.
    std::function<state_need(const state_message&)> received;
    /// Returns the changes that a peer with this version and configuration does not have.
    std::function<state_message(const published_version& known, config_version config)>
        changes_since;
    /// Returns the version of the configuration in force.
    std::function<config_version()> own_config;

    /// Returns an encoded request for a peer's changes, or for its full state.
    std::string request_text(state_need need = state_need::changes) const
    {
        auto known = own_version();
        if (need == state_need::full_state) {
            known.version.revision = 0;
        }
        return encode_message(node_message_kind::state_request,
                              state_request_message{wire_state_version(known), own_config().value});
    }

    /// Handles a state or state_request message. Returns the encoded reply, if there is one. Throws
    /// invalid_node_message if the fields are invalid.
    std::optional<std::string> reply_to(const raw_node_message& message) const
    {
        if (message.kind == node_message_kind::state_request) {
            const auto request = decode_fields<state_request_message>(message);
            const auto known = request.version.version();
            peer_version(known);
            return encode_message(node_message_kind::state,
                                  changes_since(known.version, config_version{request.config}));
        }
        const auto state = decode_fields<state_message>(message);
        const auto need = received(state);
        return need == state_need::nothing ? std::nullopt : std::optional(request_text(need));
    }
};

} // namespace trefoil
