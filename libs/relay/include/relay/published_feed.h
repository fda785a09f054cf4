#pragma once

#include "relay/item_reader.h"

#include "base/log_event.h"
#include "base/time.h"
#include "call_io/asio.h"
#include "spread/revision_spread.h"

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
    /// outage a watch may stay without an answer for ever; with different times some watchers
    /// notice soon, and the others learn from them that they are behind. The longest, with the time
    /// for a late answer, is below the time in which the shortest bounds of known deployments ask
    /// for a change after an outage: four seconds.
    std::chrono::milliseconds least_watch_time{1500};
    std::chrono::milliseconds most_watch_time{3000};
};

/// Follows one prefix of the store while this node is one of those that call it: reads it whole,
/// then watches its changes, and reads again when the store has lost its history, after a failure,
/// and when it begins to call anew. Runs on one io_context and lives as long as it.
template<item_reader Reader>
class published_feed {
public:
    struct handlers {
        /// A complete reading of the prefix.
        std::function<void(const std::vector<published_item>&, std::uint64_t revision)> replaced;
        /// All changes after `base`, up to `revision`.
        std::function<void(const std::vector<published_item>&, std::uint64_t base,
                           std::uint64_t revision)>
            changed;
        /// The store stopped or began to answer this node.
        std::function<void(bool available)> availability;
        /// The revision at which the state of this node is complete.
        std::function<std::uint64_t()> known;
    };

    published_feed(asio::io_context& context, Reader& reader, std::string prefix,
                   revision_spread& spread, handlers h, published_feed_options options = {})
        : timer_(context), reader_(reader), prefix_(std::move(prefix)), spread_(spread),
          handlers_(std::move(h)), options_(options)
    {
    }

    /// Calls the store if this node is to do so now. To be called at the start, after events that
    /// change who calls, and at each tick of the spread.
    void wake()
    {
        if (!busy_) {
            step();
        }
    }

    bool is_available() const noexcept { return available_; }

private:
    void step()
    {
        const auto now = boot_clock::now();
        const auto at = spread_.next_call(now);
        if (!at) {
            note_calling(false);
            return;
        }
        if (*at > now + revision_spread::tick_interval) {
            return; // Until then, others may begin to call.
        }
        busy_ = true;
        if (*at > now) {
            after(*at - now, [this] { step_again(); });
            return;
        }
        note_calling(true);
        must_read_ ? read_page({}) : watch();
    }

    void step_again()
    {
        busy_ = false;
        step();
    }

    void note_calling(bool calling)
    {
        if (calling_ != calling) {
            calling_ = calling;
            must_read_ = true;
            log_event(calling ? "store_calls_begun" : "store_calls_ended")
                .add("prefix", prefix_)
                .add("chosen", spread_.is_chosen())
                .info();
        }
    }

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
        must_read_ = false;
        revision_ = page_revision_;
        spread_.call_answered(boot_clock::now());
        set_available(true);
        handlers_.replaced(page_items_, page_revision_);
        step_again();
    }

    void watch()
    {
        std::uniform_int_distribution<std::int64_t> draw(options_.least_watch_time.count(),
                                                         options_.most_watch_time.count());
        const std::chrono::milliseconds wait(draw(random_));
        revision_ = std::max(revision_, handlers_.known());
        spread_.watch_started(wait, boot_clock::now());
        reader_.watch(prefix_, revision_, wait, [this](read_result result) {
            if (result.status != read_status::ok) {
                on_failure(result);
                return;
            }
            const auto base = revision_;
            revision_ = std::max(revision_, result.revision);
            spread_.call_answered(boot_clock::now());
            set_available(true);
            handlers_.changed(result.items, base, revision_);
            step_again();
        });
    }

    void on_failure(const read_result& result)
    {
        must_read_ = true;
        if (result.status == read_status::history_lost) {
            log_event("store_history_lost")
                .add("prefix", prefix_)
                .add("revision", revision_)
                .info();
            spread_.call_answered(boot_clock::now());
            step_again();
            return;
        }
        spread_.call_failed(boot_clock::now());
        ++failures_;
        // The store may cut a single watch. A reading, unlike another watch, shows at once whether
        // it answers.
        if (failures_ > 1 || !available_) {
            if (available_) {
                log_event("store_lost")
                    .add("prefix", prefix_)
                    .add("detail", result.detail)
                    .warning();
            }
            set_available(false);
        }
        step_again();
    }

    void set_available(bool available)
    {
        if (available) {
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
    void after(std::chrono::nanoseconds delay, Action action)
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
    revision_spread& spread_;
    handlers handlers_;
    published_feed_options options_;
    std::vector<published_item> page_items_;
    std::uint64_t page_revision_ = 0;
    std::uint64_t revision_ = 0;
    std::minstd_rand random_{std::random_device{}()};
    int failures_ = 0;
    /// A call or the time before one is in progress.
    bool busy_ = false;
    bool calling_ = false;
    bool must_read_ = true;
    bool available_ = false;
};

} // namespace trefoil
