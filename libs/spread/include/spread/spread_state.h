#pragma once

#include "base/time.h"
#include "spread/exchange_message.h"
#include "spread/peer_picker.h"
#include "spread/random_source.h"
#include "spread/spread_member.h"
#include "spread/version_guard.h"
#include "spread/watcher_choice.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace trefoil {

struct spread_options {
    version_guard_options guard;
    watcher_options watcher;
    /// Peers that a change is pushed to, and that a starting node asks at once.
    std::size_t push_count = 3;
    std::chrono::nanoseconds pull_interval = std::chrono::seconds(1);
    /// Interval while the node is starting or knows of a version that it lacks.
    std::chrono::nanoseconds hurried_pull_interval = std::chrono::milliseconds(250);
    /// Added to the contact age in a request, whose time on the way is not known. Without it the
    /// age would shrink by that time at every hop, and an outage could go unnoticed.
    std::chrono::nanoseconds assumed_transit = std::chrono::milliseconds(100);
};

/// What to fetch from the peer whose exchange was read.
struct fetch_plan {
    bool config = false;
    bool list = false;
};

/// What one node knows of published versions, and whom it asks and tells. Combines the decisions
/// of this library in the way that the node daemon and the model in the tests both use. Not
/// thread-safe.
class spread_state {
public:
    spread_state(spread_member self, mono_time started, spread_options options = {});

    /// Peers from the settings, asked until there is a list.
    void set_seeds(shared_members seeds);
    /// Live members of the list in force, or of one that the guard holds back as `waiting`.
    void set_members(shared_members members);

    /// Fills in versions, digests and contact age.
    void describe(exchange_message& message, mono_time now) const;

    /// Takes note of the exchange that a peer sent as a request.
    fetch_plan request_received(const exchange_message& request, mono_time now);
    /// Takes note of the result of an exchange whose request was sent at `sent`.
    fetch_plan result_received(const exchange_message& result, mono_time sent, mono_time now);

    /// Offers a text (see version_guard::offer). `accepted` makes a push due.
    version_verdict offer_config(config_version version, content_digest stated,
                                 content_digest actual, version_source source, mono_time now);
    version_verdict offer_list(list_revision revision, content_digest stated, content_digest actual,
                               version_source source, mono_time now);

    /// A text failed its own checks (see version_guard::refuse).
    void refuse_config(config_version version, content_digest digest);
    void refuse_list(list_revision revision, content_digest digest);

    /// Peers to send an exchange to because of a change; empty if none is due. Each change is
    /// returned once.
    std::vector<vm_name> take_push_targets(random_source& random);

    /// Peers to send an exchange to every pull_interval.
    std::vector<vm_name> pull_targets(random_source& random);
    std::chrono::nanoseconds pull_interval(mono_time now) const noexcept;

    /// Makes a push due for a change outside this class, such as a leaving VM or a quarantine.
    void announce() noexcept { push_due_ = true; }

    watcher_choice& watcher() noexcept { return watcher_; }
    const watcher_choice& watcher() const noexcept { return watcher_; }
    const version_guard<config_version>& config() const noexcept { return config_; }
    const version_guard<list_revision>& list() const noexcept { return list_; }

private:
    fetch_plan received(const exchange_message& message, std::chrono::nanoseconds transit,
                        mono_time now);
    bool is_starting() const noexcept;

    spread_options options_;
    version_guard<config_version> config_;
    version_guard<list_revision> list_;
    watcher_choice watcher_;
    peer_picker picker_;
    bool push_due_ = false;
};

} // namespace trefoil
