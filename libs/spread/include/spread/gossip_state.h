#pragma once

#include "base/time.h"
#include "spread/exchange_message.h"
#include "spread/gossip_member.h"
#include "spread/peer_picker.h"
#include "spread/random_source.h"
#include "spread/version_guard.h"
#include "spread/watcher_choice.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace trefoil {

struct gossip_options {
    version_guard_options guard;
    watcher_options watcher;
    /// Number of peers to which a change is pushed, and that a starting node pulls from at once.
    std::size_t push_count = 3;
    std::chrono::nanoseconds pull_interval = std::chrono::seconds(1);
    /// Pull interval while the node is starting or lacks a version that a peer reported.
    std::chrono::nanoseconds fast_pull_interval = std::chrono::milliseconds(250);
    /// Added to the contact age in a request, whose network delay is not known. Without it the age
    /// would decrease by that delay at every hop, and an outage could go undetected.
    std::chrono::nanoseconds assumed_transit = std::chrono::milliseconds(100);
};

/// Which values to fetch from the sender of an exchange message.
struct fetch_plan {
    bool config = false;
    bool list = false;
};

/// Published versions known to one node, and the selection of peers for pushes and pulls. Combines
/// the decisions of this library for the node daemon and for the simulation in the tests. Not
/// thread-safe.
class gossip_state {
public:
    gossip_state(gossip_member self, mono_time started, gossip_options options = {});

    /// Sets the peers from the settings, which are used until there is a VM list.
    void set_seeds(shared_members seeds);
    /// Sets the live members of the list in force, or of a list for which version_guard returned
    /// `waiting`.
    void set_members(shared_members members);

    /// Fills in versions, digests and contact age.
    void fill_versions(exchange_message& message, mono_time now) const;

    /// Records the versions and contact age of an exchange request received from a peer.
    fetch_plan request_received(const exchange_message& request, mono_time now);
    /// Records those of the result of an exchange whose request was sent at `sent`.
    fetch_plan result_received(const exchange_message& result, mono_time sent, mono_time now);

    /// Offers a text (see version_guard::offer). If it is accepted, a push becomes due.
    version_result offer_config(config_version version, content_digest stated,
                                content_digest actual, version_source source, mono_time now);
    version_result offer_list(list_revision revision, content_digest stated, content_digest actual,
                              version_source source, mono_time now);

    /// Records that a text failed validation (see version_guard::refuse).
    void refuse_config(config_version version, content_digest digest);
    void refuse_list(list_revision revision, content_digest digest);

    /// Returns the peers to which to push a change by an exchange, and clears the pending push;
    /// empty if none is due.
    std::vector<vm_name> take_push_targets(random_source& random);

    /// Returns the peers to send an exchange to, every pull_interval.
    std::vector<vm_name> pull_targets(random_source& random);
    std::chrono::nanoseconds pull_interval(mono_time now) const noexcept;

    /// Makes a push due for a change that this class does not track, such as a leaving VM or a
    /// quarantine.
    void request_push() noexcept { push_due_ = true; }

    watcher_choice& watcher() noexcept { return watcher_; }
    const watcher_choice& watcher() const noexcept { return watcher_; }
    const version_guard<config_version>& config() const noexcept { return config_; }
    const version_guard<list_revision>& list() const noexcept { return list_; }

private:
    fetch_plan received(const exchange_message& message, std::chrono::nanoseconds transit,
                        mono_time now);
    bool is_starting() const noexcept;

    gossip_options options_;
    version_guard<config_version> config_;
    version_guard<list_revision> list_;
    watcher_choice watcher_;
    peer_picker picker_;
    bool push_due_ = false;
};

} // namespace trefoil
