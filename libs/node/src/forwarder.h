#pragma once

#include "flow_fractions.h"
#include "inbound_server.h"
#include "membership_monitor.h"
#include "node_views.h"

#include "routing/retry_allowance.h"
#include "routing/retry_budget.h"
#include "routing/retry_policy.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <vector>

namespace trefoil {

/// Sends calls to a target of their service, which may be this node's own, and retries them.
class forwarder {
public:
    forwarder(const settings& s, const std::vector<asio::io_context*>& contexts, node_views& views,
              membership_monitor& members, inbound_server& inbound, flow_fractions& fractions);

    /// Serves the call, with at most as many retries as `allowance` permits.
    asio::awaitable<call_response> run(call& c, call_allowance& allowance);

    /// Number of calls to other targets that are not answered yet.
    std::size_t in_flight() const noexcept { return in_flight_; }

private:
    /// Response and result of one attempt.
    struct attempt {
        call_response response;
        attempt_result result;
    };

    struct shard_state {
        std::unique_ptr<connection_pool> pool;
        std::mt19937_64 random;
    };

    asio::awaitable<attempt> try_once(call& c, call_allowance& allowance,
                                      std::vector<vm_name>& tried);
    asio::awaitable<attempt> try_remote(call& c, call_allowance& allowance, const vm_entry& target);
    asio::awaitable<bool> wait(call& c, std::chrono::nanoseconds delay);
    std::optional<vm_name> choose(const call& c, const std::vector<vm_name>& tried);
    std::optional<retry_plan> plan_retry(const call& c, const attempt_result& result,
                                         std::uint32_t retries_made, call_allowance& allowance);
    call_request forwarded_request(const call& c, const vm_entry& target, std::uint32_t allowance);
    attempt interpret(const call& c, const vm_entry& target, exchange_result result,
                      call_allowance& allowance, mono_time started);
    attempt failed_attempt(const call& c, outcome reported, refusal_reason reason);
    void record_headers(const call& c, const vm_entry& target, const call_response& response);

    const settings& settings_;
    node_views& views_;
    membership_monitor& members_;
    inbound_server& inbound_;
    flow_fractions& fractions_;
    retry_policy policy_;
    std::vector<shard_state> shards_;
    std::mutex budget_mutex_;
    retry_budget budget_;
    std::atomic<std::size_t> in_flight_ = 0;
};

} // namespace trefoil
