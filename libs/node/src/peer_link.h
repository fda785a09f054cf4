#pragma once

#include "change_log.h"
#include "membership_monitor.h"
#include "node_views.h"
#include "periodic_thread.h"
#include "published_state.h"
#include "worker_pool.h"

#include "control/peer_client.h"
#include "control/rpc_server.h"
#include "node/settings.h"
#include "once/once_guard.h"
#include "quarantine/crash_suspects.h"
#include "spread/message_guard.h"
#include "spread/random_source.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace trefoil {

/// Communicates with other nodes: exchanges state once a second and immediately after a change,
/// fetches newer published values, renews the lease, and answers the same messages of peers.
class peer_link {
public:
    peer_link(const settings& s, vm_incarnation incarnation, node_views& views,
              membership_monitor& members, once_guard& once, crash_suspects& suspects,
              published_state& published, metrics& counters, change_log& log);
    ~peer_link();

    void start();

    /// Wakes the exchange thread to send the current state to a few random peers.
    void schedule_push();

    /// Sends the current state to every other listed VM of this node's service, one after the
    /// other, and waits for the answers. Used when leaving.
    void announce_leaving();

    /// Handlers for the messages of peers.
    rpc_handlers handlers();

    /// Sets the VMs with which messages are exchanged.
    void set_members(const vm_list& list);

    /// Number of messages refused since the start, over all reasons.
    std::uint64_t refused_messages() const;

private:
    std::chrono::nanoseconds exchange_step();
    void schedule_exchange(const vm_name& peer);
    std::chrono::nanoseconds lease_step();
    void exchange_with(const vm_name& peer);
    void fetch(const vm_name& peer, const fetch_plan& plan);
    void request_grant(const lease_call& call);
    void apply_message(const exchange_message& message);
    exchange_message own_message();
    message_header next_header();
    std::optional<peer_endpoint> endpoint_of(const vm_name& vm) const;
    std::optional<rpc_refusal> admit(const message_header& header, std::size_t bytes);
    void detect_pause();

    const settings& settings_;
    vm_incarnation incarnation_;
    node_views& views_;
    membership_monitor& members_;
    once_guard& once_;
    crash_suspects& suspects_;
    published_state& published_;
    metrics& metrics_;
    change_log& log_;
    peer_client client_;
    peer_client lease_client_;
    std::atomic<std::uint64_t> sequence_ = 0;
    std::atomic<bool> fetching_config_ = false;
    std::atomic<bool> fetching_list_ = false;
    mono_time last_step_;
    mono_time last_pull_;

    mutable std::mutex mutex_;
    message_guard guard_;
    random_source random_;
    /// Last list received; gives the addresses of peers while no list is in force.
    std::shared_ptr<const list_snapshot> received_list_;

    std::unique_ptr<worker_pool> workers_;
    std::unique_ptr<worker_pool> lease_workers_;
    std::unique_ptr<periodic_thread> exchanges_;
    std::unique_ptr<periodic_thread> leases_;
};

} // namespace trefoil
