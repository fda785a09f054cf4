#pragma once

#include "admission_gate.h"
#include "change_log.h"
#include "membership_monitor.h"
#include "node_views.h"

#include "metrics/metrics.h"
#include "node/settings.h"
#include "once/once_guard.h"
#include "spread/gossip_state.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace trefoil {

/// A published text with its version and digest.
template<class Version>
struct published_text {
    Version version;
    content_digest digest;
    std::string text;
};

/// The configuration and VM list in force. Validates offered ones, and publishes those accepted to
/// the call path. Thread-safe.
class published_state {
public:
    /// Callbacks, called without a lock. `changed` follows an accepted change. `list_received` also
    /// follows a valid list that is still waiting for acceptance, from which a starting node takes
    /// its peers.
    struct listeners {
        std::function<void()> changed;
        std::function<void(const vm_list&)> list_received;
    };

    published_state(const settings& s, node_views& views, membership_monitor& members,
                    once_guard& once, admission_gate& gate, metrics& counters, change_log& log);

    void set_listeners(listeners l) { listeners_ = std::move(l); }

    /// Offers the text of a bundle. `stated` is the digest that a peer reported for it. An invalid
    /// bundle is refused, counted and logged, and the one in force remains.
    void offer_config(config_version version, std::optional<content_digest> stated,
                      const std::string& text, version_source source);
    /// Offers the text of a VM list, with the same rules.
    void offer_list(list_revision revision, std::optional<content_digest> stated,
                    const std::string& text, version_source source);

    /// Calls `use` with the gossip state while its lock is held.
    template<class Use>
    auto with_spread(Use use)
    {
        const std::lock_guard lock(mutex_);
        return use(gossip_);
    }

    /// Time since the last contact with the platform, as far as it is known.
    std::optional<std::chrono::nanoseconds> contact_age() const;
    /// Text in force; its version is 0 and its text empty until one is accepted.
    published_text<config_version> config() const;
    published_text<list_revision> list() const;
    /// Version to state in the next watch call to the platform.
    config_version watch_config_after() const;
    list_revision watch_list_after() const;

private:
    version_result accept_config(config_version version, std::optional<content_digest> stated,
                                 const std::string& text, version_source source);
    version_result accept_list(const vm_list& list, std::optional<content_digest> stated,
                               const std::string& text, version_source source);
    void refuse_config(config_version version, const std::string& text, const std::string& reason);
    void count(const char* value, version_result result);

    const settings& settings_;
    node_views& views_;
    membership_monitor& members_;
    once_guard& once_;
    admission_gate& gate_;
    metrics& metrics_;
    change_log& log_;
    listeners listeners_;
    mutable std::mutex mutex_;
    gossip_state gossip_;
    std::string config_text_;
    std::string list_text_;
    bundle_id bundle_in_force_;
};

} // namespace trefoil
