#pragma once

#include "base/error.h"
#include "control/peer_messages.h"
#include "spread/exchange_message.h"
#include "spread/message_guard.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoil {

/// Base class of the exceptions that a call to a peer throws.
class peer_call_failed : public error {
protected:
    using error::error;
};

/// The peer did not accept the connection, closed it early or did not respond in time. The peer may
/// nevertheless have processed the call.
class peer_unreachable : public peer_call_failed {
public:
    explicit peer_unreachable(const std::string& detail);
};

/// The message_guard of the peer refused the message, or the message was too large for the peer's
/// control port.
class peer_refused : public peer_call_failed {
public:
    peer_refused(message_refusal reason, list_revision revision);

    message_refusal reason() const noexcept { return reason_; }
    /// Revision of the peer's VM list; 0 if the peer did not report it.
    list_revision revision() const noexcept { return revision_; }

private:
    message_refusal reason_;
    list_revision revision_;
};

/// The response is not a valid result of the method, is too large, or reports an error other than a
/// refusal.
class invalid_peer_answer : public peer_call_failed {
public:
    explicit invalid_peer_answer(const std::string& detail);
};

/// Address of a peer's control port.
struct peer_endpoint {
    /// IP address as given in the VM list.
    std::string address;
    std::uint16_t port = 0;
};

struct peer_client_options {
    /// Time limit for the whole call, including connecting.
    std::chrono::milliseconds timeout{1000};
    /// Maximum size of a response in bytes. Sufficient for a bundle of 1 MB with JSON escapes.
    std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
};

/// Client of the four JSON-RPC methods of other nodes. Each call opens its own connection, blocks
/// until the response arrives, and throws a class derived from peer_call_failed if it fails.
/// Thread-safe. Must not be used on the threads of the pool of start_control_threads, because its
/// calls block until those threads have processed the response.
class peer_client {
public:
    explicit peer_client(peer_client_options options = {});

    exchange_message exchange(const peer_endpoint& peer, const exchange_message& request);
    fetch_config_result fetch_config(const peer_endpoint& peer,
                                     const fetch_config_request& request);
    fetch_list_result fetch_list(const peer_endpoint& peer, const fetch_list_request& request);
    grant_lease_result grant_lease(const peer_endpoint& peer, const grant_lease_request& request);

private:
    peer_client_options options_;
};

} // namespace trefoil
