#pragma once

#include "relay/item_cache.h"
#include "relay/item_decoder.h"
#include "relay/item_reader.h"
#include "relay/published_feed.h"
#include "relay/relay_node.h"

#include "base/log_event.h"
#include "spread/revision_gossip.h"

#include <chrono>
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
                  Decoder decoder)
        : node_(context, settings), decoder_(std::move(decoder)),
          gossip_({vm_name(settings.inbound.address().to_string()), settings.zone},
                  boot_clock::now()),
          feed_(context, reader, decoder_.prefix(), gossip_, feed_handlers()), timer_(context)
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
        return {[this](const auto& items, std::uint64_t revision) {
                    const auto known = cache_.revision();
                    apply_and_push(known, cache_.replace(items, revision), true);
                },
                [this](const auto& items, std::uint64_t base, std::uint64_t revision) {
                    const auto known = cache_.revision();
                    if (const auto changed = cache_.merge(items, base, revision)) {
                        apply_and_push(known, *changed, true);
                    }
                },
                [this](bool) { update_availability(); }, [this] { return cache_.revision(); },
                [this](std::string_view metric) { node_.counters().add(metric); }};
    }

    peer_state_exchange exchange()
    {
        return {[this] { return gossip_.version(cache_.revision(), boot_clock::now()); },
                [this](const state_version& version) {
                    return gossip_.received(version, cache_.revision(), boot_clock::now());
                },
                [this](const published_changes& changes) { return receive(changes); },
                [this](std::uint64_t known) {
                    auto changes = cache_.changes_since(known);
                    changes.confirmation_time_left = node_.confirmation_time_left();
                    return changes;
                }};
    }

    /// Applies changes from a peer. Returns true if changes between the known revision and
    /// `changes.base` are missing.
    bool receive(const published_changes& changes)
    {
        update_availability();
        const auto known = cache_.revision();
        if (changes.revision <= known) {
            return false;
        }
        node_.extend_confirmation(changes.confirmation_time_left);
        may_miss_expiry_ = may_miss_expiry_ || changes.confirmation_time_left.count() > 0;
        if (changes.base == 0) {
            apply_and_push(known, cache_.replace(changes.items, changes.revision), false);
            return false;
        }
        const auto changed = cache_.merge(changes.items, changes.base, changes.revision);
        if (changed) {
            apply_and_push(known, *changed, false);
        }
        return !changed;
    }

    /// Applies new items to the node and pushes them to peers. `known` is the revision up to which
    /// the state was complete before.
    void apply_and_push(std::uint64_t known, const std::vector<published_item>& items,
                        bool from_store)
    {
        if (items.empty()) {
            return;
        }
        apply(items);
        gossip_.set_members(node_.members());
        feed_.wake();
        if (known == 0) {
            return; // The initial full state is not pushed: other nodes are at least as recent.
        }
        const published_changes changes{known, cache_.revision(), items,
                                        node_.confirmation_time_left()};
        for (const auto& peer : gossip_.push_targets(from_store)) {
            node_.push_state(peer.str(), changes);
        }
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

    void apply(const std::vector<published_item>& items)
    {
        for (const auto& item : items) {
            try {
                apply(item);
            }
            catch (const invalid_item& e) {
                log_event("item_refused")
                    .add("key", item.key)
                    .add("revision", item.revision)
                    .add("detail", e.what())
                    .warning();
                if (const auto id = decoder_.target_id(item.key)) {
                    node_.remove_target(*id);
                }
            }
        }
    }

    void apply(const published_item& item)
    {
        if (const auto id = decoder_.target_id(item.key)) {
            item.removed ? node_.remove_target(*id) : node_.put_target(decoder_.target(item));
        }
        else if (decoder_.is_config(item.key) && !item.removed) {
            node_.set_config(decoder_.config(item));
        }
    }

    void tick()
    {
        const auto now = boot_clock::now();
        update_availability();
        node_.counters().set("trefoil_state_revision", static_cast<double>(cache_.revision()));
        feed_.wake();
        if (const auto peer = gossip_.next_pull(now)) {
            node_.request_state(peer->str());
        }
        else if (cache_.revision() == 0) {
            node_.request_state_of_any();
        }
        timer_.expires_after(revision_gossip::tick_interval);
        timer_.async_wait([this](auto error) {
            if (!error) {
                tick();
            }
        });
    }

    relay_node node_;
    Decoder decoder_;
    item_cache cache_;
    revision_gossip gossip_;
    published_feed<Reader> feed_;
    asio::steady_timer timer_;
    /// The store is assumed available until an outage is detected.
    bool available_ = true;
    /// An outage may have let entries expire unnoticed: this node has known of contact with the
    /// store before, or received its state from a node that reports an outage. Until then, missing
    /// contact only means that the node is starting and is not treated as an outage.
    bool may_miss_expiry_ = false;
};

} // namespace trefoil
