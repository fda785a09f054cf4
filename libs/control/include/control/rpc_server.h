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

/// Reports to a sender why its message was refused. Contains the receiver's list revision, so that
/// a sender that is not in the receiver's list can determine which of the two lists is outdated.
struct rpc_refusal {
    message_refusal reason = message_refusal::malformed;
    list_revision revision;
};

/// Handlers for the messages of peers. They may be called concurrently. The four methods must be
/// idempotent, because the sender's HTTP client may send a request twice.
struct rpc_handlers {
    /// Called first for every message that can be parsed, with the size of its body in bytes (see
    /// message_guard). nullopt means that the message is accepted.
    std::function<std::optional<rpc_refusal>(const message_header& header, std::size_t bytes)>
        admit = {};
    /// Called for each message that cannot be parsed.
    std::function<void()> malformed = {};
    std::function<exchange_message(const exchange_message&)> exchange = {};
    std::function<fetch_config_result(const fetch_config_request&)> fetch_config = {};
    std::function<fetch_list_result(const fetch_list_request&)> fetch_list = {};
    std::function<grant_lease_result(const grant_lease_request&)> grant_lease = {};
};

/// Decodes JSON-RPC 2.0 requests and dispatches them to the handlers. Batches and notifications are
/// refused as malformed.
class rpc_server {
public:
    explicit rpc_server(rpc_handlers handlers);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// Processes one request body and returns the response body; used as control_handlers::rpc.
    /// Invalid input and exceptions from the methods result in a JSON-RPC error. Thread-safe.
    std::string handle(const std::string& body);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
