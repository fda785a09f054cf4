#pragma once

#include "node_codec.h"
#include "node_message.h"

#include "spread/spread_mark.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace trefoil {

/// What a connection to a peer does with the published state, in both directions.
struct state_handlers {
    /// What messages of this node say of its state.
    std::function<spread_mark()> own_mark;
    /// What a message of the peer said. True if the peer is to be asked for its changes.
    std::function<bool(const spread_mark&)> peer_mark;
    /// Takes over changes of the peer. True if some before them are missing, so that the peer is
    /// to be asked.
    std::function<bool(const state_message&)> received;
    /// The changes that a peer with this revision lacks.
    std::function<state_message(std::uint64_t known)> changes_since;

    /// The question for a peer's changes.
    std::string request_text() const
    {
        return encode_message(node_message_kind::state_request,
                              state_request_message{wire_mark(own_mark())});
    }

    /// Handles a state or state_request message. Returns the bytes to send back, if any.
    std::optional<std::string> reply_to(const raw_node_message& message) const
    {
        if (message.kind == node_message_kind::state_request) {
            const auto request = decode_fields<state_request_message>(message);
            peer_mark(request.mark.mark());
            return encode_message(node_message_kind::state, changes_since(request.mark.revision));
        }
        const auto state = decode_fields<state_message>(message);
        return received(state) ? std::optional(request_text()) : std::nullopt;
    }
};

} // namespace trefoil
