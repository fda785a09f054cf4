#pragma once

#include "relay/item_cache.h"
#include "relay/item_decoder.h"
#include "relay/item_reader.h"
#include "relay/published_feed.h"
#include "relay/relay_node.h"
#include "relay/state_lag.h"

#include "base/log_event.h"

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace trefoil {

/// Time between questions to peers while the store cannot be read.
inline constexpr std::chrono::milliseconds peer_state_interval{400};

/// A relay node together with what it reads from the platform's store. Other nodes stand in for the
/// store while this node cannot read it.
template<item_reader Reader, item_decoder Decoder>
class relay_service {
public:
    relay_service(asio::io_context& context, const relay_settings& settings, Reader& reader,
                  Decoder decoder)
        : node_(context, settings), decoder_(std::move(decoder)), timer_(context)
    {
        for (const auto& prefix : decoder_.prefixes()) {
            feeds_.push_back(std::make_unique<published_feed<Reader>>(context, reader, prefix,
                                                                      feed_handlers(prefix)));
        }
        node_.set_state_exchange(exchange());
    }

    void start()
    {
        node_.start();
        for (auto& feed : feeds_) {
            feed->start();
        }
        ask_peers();
    }

    void drain(std::function<void()> done) { node_.drain(std::move(done)); }

private:
    typename published_feed<Reader>::handlers feed_handlers(const std::string& prefix)
    {
        return {[this, prefix](const auto& items, std::uint64_t revision) {
                    apply(cache_.replace(prefix, items, revision));
                },
                [this](const auto& items) { apply(cache_.merge(items)); },
                [this](bool available) { node_.set_store_available(available && is_live()); }};
    }

    peer_state_exchange exchange()
    {
        return {[this](std::uint64_t known, std::uint64_t& newest) {
                    newest = cache_.newest();
                    return known < newest ? cache_.items() : std::vector<published_item>{};
                },
                [this] { return is_live(); },
                [this](const auto& items, std::uint64_t newest, bool live) {
                    if (newest > cache_.newest()) {
                        if (live) {
                            node_.set_store_available(true);
                        }
                        apply(cache_.replace({}, items, newest));
                    }
                },
                [this] { return cache_.newest(); },
                [this](std::uint64_t revision) {
                    return lag_.observe(revision, cache_.newest(), boot_clock::now());
                }};
    }

    bool is_live() const
    {
        return std::all_of(feeds_.begin(), feeds_.end(),
                           [](const auto& feed) { return feed->is_available(); });
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

    void ask_peers()
    {
        if (!is_live()) {
            node_.request_peer_state(cache_.newest());
        }
        timer_.expires_after(peer_state_interval);
        timer_.async_wait([this](auto error) {
            if (!error) {
                ask_peers();
            }
        });
    }

    relay_node node_;
    Decoder decoder_;
    item_cache cache_;
    state_lag lag_;
    std::vector<std::unique_ptr<published_feed<Reader>>> feeds_;
    asio::steady_timer timer_;
};

} // namespace trefoil
