#pragma once

#include "relay/feed_cursor.h"
#include "relay/item_reader.h"

#include "base/log_event.h"
#include "base/time.h"
#include "call_io/asio.h"
#include "spread/revision_gossip.h"

#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoil {

/// Settings of a published_feed.
struct published_feed_options {
    /// Range of the long-poll wait time; each watch draws a random time from it. After an outage a
    /// watch may never be answered. With varying wait times some watchers time out early, and the
    /// others learn through gossip that their state is old. The maximum plus the allowance for a
    /// late answer stays below four seconds, the shortest time within which a known deployment
    /// requires changes to arrive after an outage.
    std::chrono::milliseconds min_watch_time{1500};
    std::chrono::milliseconds max_watch_time{3000};
};

/// Follows one key prefix of the store while this node is one of those selected to call it. Reads
/// the whole prefix, then watches for changes. Repeats the full read when the store no longer has
/// the history or has returned from an older copy, after a failed call, and when the node is
/// selected again. Runs on one io_context
/// and must live as long as it.
template<item_reader Reader>
class published_feed {
public:
    struct handlers {
        /// The prefix was read in full, at this version.
        std::function<void(const std::vector<published_item>&, const published_version&)> replaced;
        /// A watch returned all changes after the revision `base`, up to and including the version.
        std::function<void(const std::vector<published_item>&, std::uint64_t base,
                           const published_version&)>
            changed;
        /// The store became available or unavailable to this node.
        std::function<void(bool available)> availability;
        /// Returns the version up to which the state of this node is complete.
        std::function<published_version()> known;
        /// Counts an event under this metric; not called if empty.
        std::function<void(std::string_view metric)> count{};
    };

    published_feed(asio::io_context& context, Reader& reader, std::string prefix,
                   revision_gossip& gossip, handlers h, published_feed_options options = {})
        : timer_(context), reader_(reader), prefix_(std::move(prefix)), gossip_(gossip),
          handlers_(std::move(h)), options_(options)
    {
    }

    /// Calls the store if this node is due to. Call at the start, after each event that may change
    /// which nodes call the store, and at each gossip tick.
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
        const auto at = gossip_.next_call(now);
        if (!at) {
            set_calling(false);
            return;
        }
        if (*at > now + revision_gossip::tick_interval) {
            return; // Another node may start to call the store before then.
        }
        busy_ = true;
        if (*at > now) {
            after(*at - now, [this] { step_again(); });
            return;
        }
        set_calling(true);
        cursor_.needs_full_read() ? read_page({}) : watch();
    }

    void step_again()
    {
        busy_ = false;
        step();
    }

    void set_calling(bool calling)
    {
        if (calling_ != calling) {
            calling_ = calling;
            cursor_.require_full_read();
            log_event(calling ? "store_calls_begun" : "store_calls_ended")
                .add("prefix", prefix_)
                .add("chosen", gossip_.is_chosen())
                .info();
        }
    }

    void read_page(const std::string& after)
    {
        if (after.empty()) {
            cursor_.begin_read();
        }
        reader_.read(prefix_, after, [this](read_result result) { on_page(std::move(result)); });
    }

    void on_page(read_result result)
    {
        if (result.status != read_status::ok) {
            on_failure(result);
            return;
        }
        switch (cursor_.add_page(result, handlers_.known())) {
        case feed_cursor::page_use::more:
            read_page(result.items.back().key);
            return;
        case feed_cursor::page_use::restart:
            log_event("store_read_restarted").add("era", era_text(result)).info();
            read_page({});
            return;
        case feed_cursor::page_use::stale:
            on_stale(result);
            return;
        case feed_cursor::page_use::complete:
            break;
        }
        on_answer();
        if (cursor_.version() < handlers_.known()) {
            log_event("store_read_ignored")
                .add("version", cursor_.version())
                .add("known", handlers_.known())
                .warning();
            count("trefoil_store_reads_ignored_total");
        }
        handlers_.replaced(cursor_.items(), cursor_.version());
        step_again();
    }

    void watch()
    {
        std::uniform_int_distribution<std::int64_t> draw(options_.min_watch_time.count(),
                                                         options_.max_watch_time.count());
        const std::chrono::milliseconds wait(draw(random_));
        const auto base = cursor_.begin_watch(handlers_.known());
        gossip_.watch_started(wait, boot_clock::now());
        reader_.watch(prefix_, base.revision, wait,
                      [this](const read_result& result) { on_watch(result); });
    }

    void on_watch(const read_result& result)
    {
        if (result.status != read_status::ok) {
            on_failure(result);
            return;
        }
        const auto use = cursor_.take_watch(result, handlers_.known());
        if (use == feed_cursor::watch_use::stale) {
            on_stale(result);
            return;
        }
        on_answer();
        if (use == feed_cursor::watch_use::changes) {
            handlers_.changed(result.items, cursor_.base().revision, cursor_.version());
        }
        step_again();
    }

    void on_answer()
    {
        gossip_.call_answered(boot_clock::now());
        set_available(true);
    }

    void on_failure(const read_result& result)
    {
        if (result.status == read_status::history_lost) {
            if (!cursor_.take_history_lost(result, handlers_.known())) {
                on_stale(result);
                return;
            }
            log_event("store_history_lost")
                .add("prefix", prefix_)
                .add("version", cursor_.base())
                .add("era", era_text(result))
                .info();
            count("trefoil_store_history_lost_total");
            gossip_.call_answered(boot_clock::now());
            step_again();
            return;
        }
        cursor_.require_full_read();
        record_failure(result.detail);
    }

    /// Drops an answer from before the store returned from an older copy.
    void on_stale(const read_result& result)
    {
        if (stale_era_ != result.era) {
            stale_era_ = result.era;
            log_event("store_answer_stale")
                .add("era", era_text(result))
                .add("known", handlers_.known())
                .warning();
        }
        count("trefoil_store_answers_stale_total");
        record_failure("answer of an earlier era");
    }

    void record_failure(const std::string& detail)
    {
        gossip_.call_failed(boot_clock::now());
        ++failures_;
        // One closed watch is no outage. The full read that follows, unlike another watch, is
        // answered immediately and so shows whether the store is available.
        if (failures_ > 1 || !available_) {
            if (available_) {
                log_event("store_lost").add("prefix", prefix_).add("detail", detail).warning();
            }
            set_available(false);
        }
        step_again();
    }

    void count(std::string_view metric)
    {
        if (handlers_.count) {
            handlers_.count(metric);
        }
    }

    /// The era of an answer for the log; empty if the answer does not state it.
    static std::string era_text(const read_result& result)
    {
        return result.era ? std::to_string(*result.era) : std::string();
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
    revision_gossip& gossip_;
    handlers handlers_;
    published_feed_options options_;
    feed_cursor cursor_;
    /// Era of the last stale answer that was logged.
    std::optional<std::uint64_t> stale_era_;
    std::minstd_rand random_{std::random_device{}()};
    int failures_ = 0;
    /// A call is in progress or scheduled.
    bool busy_ = false;
    bool calling_ = false;
    bool available_ = false;
};

} // namespace trefoil
