#pragma once

#include "control/peer_messages.h"
#include "spread/exchange_message.h"
#include "spread/message_guard.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trefoil {

/// Tells a sender why its message was refused, with the receiver's list revision, so that a node
/// missing from an old list can tell which side is behind.
struct rpc_refusal {
    message_refusal reason = message_refusal::malformed;
    list_revision revision;
};

/// What a node does with messages of its peers. All may run on several threads at once. All four
/// methods must be idempotent, since the sender's HTTP client may send a request twice.
struct rpc_handlers {
    /// Called first for every message, with the size of its body (see message_guard). Empty: the
    /// message may be acted on.
    std::function<std::optional<rpc_refusal>(const message_header& header, std::size_t bytes)>
        admit = {};
    /// Called for each message that cannot be parsed.
    std::function<void()> malformed = {};
    std::function<exchange_message(const exchange_message&)> exchange = {};
    std::function<fetch_config_result(const fetch_config_request&)> fetch_config = {};
    std::function<fetch_list_result(const fetch_list_request&)> fetch_list = {};
    std::function<grant_lease_result(const grant_lease_request&)> grant_lease = {};
};

/// Decodes JSON-RPC 2.0 requests and calls the handlers. Batches and notifications are refused.
class rpc_server {
public:
    explicit rpc_server(rpc_handlers handlers);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// Answers one request body; for control_handlers::rpc. Never throws on bad input: each fault
    /// becomes a JSON-RPC error. Thread-safe.
    std::string handle(const std::string& body);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
