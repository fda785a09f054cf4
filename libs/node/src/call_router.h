#pragma once

#include "forwarder.h"

#include "metrics/metrics.h"
#include "routing/entry_allowances.h"

#include <optional>

namespace trefoil {

/// Receives every call: resolves its headers against the configuration and serves it as a call
/// forwarded by a peer, an onward call of this node's upstream, or a call that enters the call
/// graph here.
class call_router {
public:
    call_router(const settings& s, node_views& views, inbound_server& inbound, forwarder& forward,
                flow_fractions& fractions, metrics& counters, local_runner& runner);

    asio::awaitable<call_response> handle(call_request request, std::size_t shard,
                                          std::shared_ptr<cancel_token> cancel);

private:
    /// Fills `c` from the request. Returns an answer if the call is refused.
    std::optional<call_response> resolve(call_request& request, call& c);
    /// Resolves the id, the objects of the configuration and the deadline of `c`. Returns an answer
    /// if the call is refused.
    std::optional<call_response> resolve_objects(call& c);
    asio::awaitable<call_response> dispatch(call& c);
    asio::awaitable<call_response> serve_entry(call& c);
    asio::awaitable<call_response> serve_onward(call& c);
    asio::awaitable<call_response> serve_forwarded(call& c);
    call_response refuse_at_entry(const call& c, refusal_reason reason,
                                  std::chrono::milliseconds retry_after) const;
    std::chrono::milliseconds entry_retry_after(const call& c, double fraction);
    void add_versions(call_response& response) const;
    void count(const call& c, const call_response& response);

    const settings& settings_;
    node_views& views_;
    inbound_server& inbound_;
    forwarder& forward_;
    flow_fractions& fractions_;
    metrics& metrics_;
    local_runner& runner_;
    entry_allowances entry_allowances_;
};

} // namespace trefoil
