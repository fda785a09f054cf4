#pragma once

#include "relay/item_decoder.h"
#include "relay/item_reader.h"
#include "relay/published_feed.h"
#include "relay/relay_node.h"
#include "relay/store_replica.h"

#include "base/log_event.h"
#include "spread/revision_gossip.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Runs a relay node with the state that the platform publishes in its store. The node reads the
/// store directly while revision_gossip selects it to; otherwise it receives changes by gossip.
template<item_reader Reader, item_decoder Decoder>
class relay_service {
public:
    relay_service(asio::io_context& context, const relay_settings& settings, Reader& reader,
                  const Decoder& decoder)
        : node_(context, settings), state_(decoder, node_),
          gossip_({vm_name(settings.inbound.address().to_string()), settings.zone},
                  boot_clock::now()),
          feed_(context, reader, decoder.prefix(), gossip_, feed_handlers()), timer_(context)
    {
        node_.set_state_exchange(exchange());
    }

    void start()
    {
        node_.start();
        tick();
    }

    void drain(std::function<void()> done) { node_.drain(std::move(done)); }

private:
    typename published_feed<Reader>::handlers feed_handlers()
    {
        return {[this](const auto& items, const published_version& version) {
                    if (state_.is_return(version)) {
                        node_.on_store_returned();
                    }
                    finish(state_.replace(items, version), update_source::store);
                },
                [this](const auto& items, std::uint64_t base, const published_version& version) {
                    finish(state_.merge(items, base, version), update_source::store);
                },
                [this](bool) { update_availability(); }, [this] { return state_.version(); },
                [this](std::string_view metric) { node_.counters().add(metric); }};
    }

    peer_state_exchange exchange()
    {
        return {[this] { return gossip_.version(state_.version(), boot_clock::now()); },
                [this](const state_version& theirs) { return observe(theirs); },
                [this](const published_changes& changes) { return receive(changes); },
                [this](const published_version& known, config_version config) {
                    auto changes = state_.changes_since(known, config);
                    changes.confirmation_time_left = node_.confirmation_time_left();
                    return changes;
                },
                [this] { return state_.config(); }};
    }

    bool observe(state_version theirs)
    {
        // Contact with the store before it returned says nothing about the store of now.
        if (theirs.version.era < state_.version().era) {
            theirs.contact_age.reset();
        }
        return gossip_.received(theirs, state_.version(), boot_clock::now());
    }

    enum class update_source : std::uint8_t { store, peer };

    /// Applies changes from a peer. Returns what is to be requested from it.
    state_need receive(const published_changes& changes)
    {
        update_availability();
        if (changes.version > state_.version()) {
            node_.extend_confirmation(changes.confirmation_time_left);
            may_miss_expiry_ = may_miss_expiry_ || changes.confirmation_time_left.count() > 0;
        }
        const auto update = state_.receive(changes);
        finish(update, update_source::peer);
        if (update.need == state_need::full_state) {
            return limit_full_requests();
        }
        const bool is_later_era = changes.version.era > state_.version().era;
        return update.need == state_need::changes && is_later_era ? limit_era_requests()
                                                                  : update.need;
    }

    /// Bounds how often the full state is requested because of a digest.
    state_need limit_full_requests()
    {
        const auto now = boot_clock::now();
        if (now < next_full_request_) {
            return state_need::nothing;
        }
        next_full_request_ = now + full_request_interval;
        log_event("state_differs_from_peer").add("version", state_.version()).info();
        node_.counters().add("trefoil_state_differences_total");
        return state_need::full_state;
    }

    /// Several peers tell of a new era at the same time, and each would answer with the full state.
    state_need limit_era_requests()
    {
        const auto now = boot_clock::now();
        if (now < next_era_request_) {
            return state_need::nothing;
        }
        next_era_request_ = now + era_request_interval;
        return state_need::changes;
    }

    /// Logs an update and passes it on to peers.
    void finish(const state_update& update, update_source source)
    {
        if (update.is_new_era()) {
            log_new_era(update, source);
        }
        if (update.items.empty() && !update.has_adopted && !update.is_new_era()) {
            return;
        }
        node_.counters().set("trefoil_state_revision",
                             static_cast<double>(state_.version().revision));
        node_.counters().set("trefoil_store_era", static_cast<double>(state_.version().era));
        node_.counters().set("trefoil_items_retained", static_cast<double>(state_.retained()));
        gossip_.set_members(node_.members());
        feed_.wake();
        if (update.before.revision == 0) {
            return; // The initial full state is not pushed: other nodes are at least as recent.
        }
        auto changes = state_.changes_to_push(update);
        changes.confirmation_time_left = node_.confirmation_time_left();
        for (const auto& peer : gossip_.push_targets(source == update_source::store)) {
            node_.push_state(peer.str(), changes);
        }
    }

    void log_new_era(const state_update& update, update_source source)
    {
        const auto removed = std::ranges::count_if(
            update.items, [](const published_item& item) { return item.removed; });
        log_event("store_era_changed")
            .add("from", update.before)
            .add("to", update.after)
            .add("source", source == update_source::store ? "store" : "peer")
            .add("changed", update.items.size() - static_cast<std::size_t>(removed))
            .add("removed", removed)
            .add("retained", state_.retained())
            .add("config", state_.config())
            .warning();
        node_.counters().add("trefoil_store_era_changes_total");
    }

    void update_availability()
    {
        const bool available = feed_.is_available() || gossip_.has_contact(boot_clock::now());
        may_miss_expiry_ = may_miss_expiry_ || available;
        if (!may_miss_expiry_) {
            return;
        }
        if (available_ != available) {
            available_ = available;
            node_.set_store_available(available);
        }
    }

    void tick()
    {
        const auto now = boot_clock::now();
        update_availability();
        state_.release_departures(now, available_);
        feed_.wake();
        if (const auto peer = gossip_.next_pull(now)) {
            node_.request_state(peer->str());
        }
        else if (state_.version().revision == 0) {
            node_.request_state_of_any();
        }
        timer_.expires_after(revision_gossip::tick_interval);
        timer_.async_wait([this](auto error) {
            if (!error) {
                tick();
            }
        });
    }

    /// Minimum time between two such requests. Less than the shortest time in which a known
    /// deployment requires that a target which has left gets no more requests.
    static constexpr std::chrono::milliseconds full_request_interval{1000};
    /// Time for a peer to answer with the full state of a new era, before another one is asked.
    static constexpr std::chrono::milliseconds era_request_interval{150};

    relay_node node_;
    store_replica<Decoder, relay_node> state_;
    revision_gossip gossip_;
    published_feed<Reader> feed_;
    asio::steady_timer timer_;
    mono_time next_full_request_;
    mono_time next_era_request_;
    /// The store is assumed available until an outage is detected.
    bool available_ = true;
    /// An outage may have let entries expire unnoticed: this node has known of contact with the
    /// store before, or received its state from a node that reports an outage. Until then, missing
    /// contact only means that the node is starting and is not treated as an outage.
    bool may_miss_expiry_ = false;
};

} // namespace trefoil
