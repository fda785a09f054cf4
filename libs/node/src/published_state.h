#pragma once

#include "admission_gate.h"
#include "change_log.h"
#include "membership_monitor.h"
#include "node_views.h"

#include "metrics/metrics.h"
#include "node/settings.h"
#include "once/once_guard.h"
#include "spread/spread_state.h"

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

/// The configuration and the VM list in force: checks what is offered, and puts what is accepted
/// into the views of the call path. Thread-safe.
class published_state {
public:
    /// Called without a lock after an accepted change, and with the list also while a starting node
    /// only knows peers from it.
    struct listeners {
        std::function<void()> changed;
        std::function<void(const vm_list&)> list_known;
    };

    published_state(const settings& s, node_views& views, membership_monitor& members,
                    once_guard& once, admission_gate& gate, metrics& counters, change_log& log);

    void set_listeners(listeners l) { listeners_ = std::move(l); }

    /// Offers a bundle's text. `stated` is the digest that a peer gave for it. A bad one is
    /// refused, counted and logged, and the one in force stays.
    void offer_config(config_version version, std::optional<content_digest> stated,
                      const std::string& text, version_source source);
    void offer_list(list_revision revision, std::optional<content_digest> stated,
                    const std::string& text, version_source source);

    /// Runs with the spread decisions under their lock.
    template<class Use>
    auto with_spread(Use use)
    {
        const std::lock_guard lock(mutex_);
        return use(spread_);
    }

    std::optional<std::chrono::nanoseconds> contact_age() const;
    published_text<config_version> config() const;
    published_text<list_revision> list() const;
    config_version watch_config_after() const;
    list_revision watch_list_after() const;

private:
    version_verdict accept_config(config_version version, std::optional<content_digest> stated,
                                  const std::string& text, version_source source);
    version_verdict accept_list(const vm_list& list, std::optional<content_digest> stated,
                                const std::string& text, version_source source);
    void refuse_config(config_version version, const std::string& text, const std::string& why);
    void count(const char* value, version_verdict verdict);

    const settings& settings_;
    node_views& views_;
    membership_monitor& members_;
    once_guard& once_;
    admission_gate& gate_;
    metrics& metrics_;
    change_log& log_;
    listeners listeners_;
    mutable std::mutex mutex_;
    spread_state spread_;
    std::string config_text_;
    std::string list_text_;
    bundle_id bundle_in_force_;
};

} // namespace trefoil
