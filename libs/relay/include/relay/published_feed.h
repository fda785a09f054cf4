#pragma once

#include "relay/item_reader.h"

#include "base/log_event.h"
#include "base/time.h"
#include "call_io/asio.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace trefoil {

/// Tuning of a published_feed.
struct published_feed_options {
    /// Time that the store lets a watch wait, drawn anew for each watch from this range. After an
    /// outage a watch may stay without an answer for ever; with different times some nodes notice
    /// soon, and the others learn from them that they are behind.
    std::chrono::milliseconds least_watch_time{1500};
    std::chrono::milliseconds most_watch_time{4000};
    /// Pause between watches, in which changes collect: each call to the store counts.
    std::chrono::milliseconds pause{150};
    std::chrono::milliseconds first_backoff{150};
    std::chrono::milliseconds longest_backoff{800};
};

/// Follows one prefix of the store: reads it whole, then watches its changes, and begins again when
/// the store has lost its history. Runs on one io_context and lives as long as it.
template<item_reader Reader>
class published_feed {
public:
    struct handlers {
        /// A complete reading of the prefix.
        std::function<void(const std::vector<published_item>&, std::uint64_t revision)> replaced;
        std::function<void(const std::vector<published_item>&)> changed;
        /// The store stopped or began to answer.
        std::function<void(bool available)> availability;
    };

    published_feed(asio::io_context& context, Reader& reader, std::string prefix, handlers h,
                   published_feed_options options = {})
        : timer_(context), reader_(reader), prefix_(std::move(prefix)), handlers_(std::move(h)),
          options_(options)
    {
    }

    void start() { read_page({}); }

    bool is_available() const noexcept { return available_; }

private:
    void read_page(const std::string& after)
    {
        if (after.empty()) {
            page_items_.clear();
            page_revision_ = 0;
        }
        reader_.read(prefix_, after, [this](read_result result) { on_page(std::move(result)); });
    }

    void on_page(read_result result)
    {
        if (result.status != read_status::ok) {
            on_failure(result);
            return;
        }
        // Pages are not a snapshot: the watch starts at the first one, so that no change between
        // them is missed.
        page_revision_ =
            page_revision_ == 0 ? result.revision : std::min(page_revision_, result.revision);
        page_items_.insert(page_items_.end(), result.items.begin(), result.items.end());
        if (result.has_more && !result.items.empty()) {
            read_page(result.items.back().key);
            return;
        }
        revision_ = page_revision_;
        set_available(true);
        handlers_.replaced(page_items_, page_revision_);
        watch();
    }

    void watch()
    {
        std::uniform_int_distribution<std::int64_t> draw(options_.least_watch_time.count(),
                                                         options_.most_watch_time.count());
        const std::chrono::milliseconds wait(draw(random_));
        reader_.watch(prefix_, revision_, wait, [this](read_result result) {
            if (result.status != read_status::ok) {
                on_failure(result);
                return;
            }
            revision_ = std::max(revision_, result.revision);
            set_available(true);
            if (!result.items.empty()) {
                handlers_.changed(result.items);
            }
            after(result.items.empty() ? std::chrono::milliseconds(0) : options_.pause,
                  [this] { watch(); });
        });
    }

    void on_failure(const read_result& result)
    {
        if (result.status == read_status::history_lost) {
            log_event("store_history_lost")
                .add("prefix", prefix_)
                .add("revision", revision_)
                .info();
            read_page({});
            return;
        }
        ++failures_;
        if (failures_ == 1 && available_) {
            // The store may cut a single watch. A reading, unlike another watch, shows at once
            // whether it answers.
            after(options_.first_backoff, [this] { read_page({}); });
            return;
        }
        if (available_) {
            log_event("store_lost").add("prefix", prefix_).add("detail", result.detail).warning();
        }
        set_available(false);
        backoff_ =
            std::min(std::max(options_.first_backoff, backoff_ * 2), options_.longest_backoff);
        // Entries that lapsed in the outage must be seen as missing, so the prefix is read whole.
        after(backoff_, [this] { read_page({}); });
    }

    void set_available(bool available)
    {
        if (available) {
            backoff_ = std::chrono::milliseconds(0);
            failures_ = 0;
        }
        if (available != available_) {
            available_ = available;
            if (available) {
                log_event("store_regained").add("prefix", prefix_).info();
            }
            handlers_.availability(available);
        }
    }

    template<class Action>
    void after(std::chrono::milliseconds delay, Action action)
    {
        timer_.expires_after(delay);
        timer_.async_wait([action](auto error) {
            if (!error) {
                action();
            }
        });
    }

    asio::steady_timer timer_;
    Reader& reader_;
    std::string prefix_;
    handlers handlers_;
    published_feed_options options_;
    std::vector<published_item> page_items_;
    std::uint64_t page_revision_ = 0;
    std::uint64_t revision_ = 0;
    std::chrono::milliseconds backoff_{0};
    std::minstd_rand random_{std::random_device{}()};
    int failures_ = 0;
    bool available_ = false;
};

} // namespace trefoil
