#include "deadline_queue.h"

#include "relay/published_feed.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

/// A store that returns the answers queued by a test.
struct scripted_reader {
    std::deque<read_result> answers;
    std::vector<std::string> calls;
    /// True once a call found no queued answer.
    bool is_waiting = false;

    void read(const std::string& prefix, const std::string& after, const read_handler& done)
    {
        calls.push_back("read " + prefix + " " + after);
        answer(done);
    }

    void watch(const std::string& prefix, std::uint64_t revision, std::chrono::milliseconds,
               const read_handler& done)
    {
        calls.push_back("watch " + prefix + " " + std::to_string(revision));
        answer(done);
    }

    /// Without a queued answer the call never completes.
    void answer(const read_handler& done)
    {
        if (!answers.empty()) {
            const auto next = answers.front();
            answers.pop_front();
            done(next);
            return;
        }
        is_waiting = true;
    }

    void ok(std::uint64_t revision, std::vector<published_item> items = {}, bool more = false)
    {
        answers.push_back({read_status::ok, std::move(items), more, revision, {}});
    }

    void fails(read_status status) { answers.push_back({status, {}, false, 0, "scripted"}); }
};

struct feed_fixture {
    asio::io_context context;
    scripted_reader reader;
    std::vector<std::string> seen;
    /// Without other members the node calls the store itself.
    revision_gossip gossip{{vm_name("vm"), availability_zone_name("a")}, boot_clock::now()};
    std::uint64_t known = 0;
    published_feed<scripted_reader> feed{
        context,
        reader,
        "p/",
        gossip,
        {[this](const auto& items, std::uint64_t revision) {
             known = std::max(known, revision);
             seen.push_back("all " + std::to_string(items.size()) + " at " +
                            std::to_string(revision));
         },
         [this](const auto& items, std::uint64_t base, std::uint64_t) {
             seen.push_back("changed " + items.front().key + " after " + std::to_string(base));
         },
         [this](bool available) { seen.push_back(available ? "regained" : "lost"); },
         [this] { return known; }}};

    /// Wakes the feed until it has consumed all answers and waits for another.
    void run()
    {
        while (!reader.is_waiting) {
            feed.wake();
            context.restart();
            context.run_for(5ms);
        }
    }
};

} // namespace

// Guards against missing changes made between the reads of two pages.
TEST_CASE_METHOD(feed_fixture, "published_feed_several_pages_watches_from_first_revision")
{
    reader.ok(10, {{"p/a", "", 1}}, true);
    reader.ok(12, {{"p/b", "", 2}});
    run();
    CHECK(reader.calls == std::vector<std::string>{"read p/ ", "read p/ p/a", "watch p/ 10"});
    CHECK(seen == std::vector<std::string>{"regained", "all 2 at 10"});
}

// Guards against reporting an outage because the store closed a single watch.
TEST_CASE_METHOD(feed_fixture, "published_feed_one_watch_closed_is_no_outage")
{
    reader.ok(10);
    reader.fails(read_status::failed);
    reader.ok(11, {{"p/a", "", 11}});
    run();
    CHECK(reader.calls.back() == "watch p/ 11");
    CHECK(seen == std::vector<std::string>{"regained", "all 0 at 10", "all 1 at 11"});
}

// Guards against watching a store that does not answer: after one failure the next call is a read,
// which an available store answers immediately.
TEST_CASE_METHOD(feed_fixture, "published_feed_watch_fails_reads_instead_of_watching")
{
    reader.ok(10);
    reader.fails(read_status::failed);
    run();
    CHECK(reader.calls == std::vector<std::string>{"read p/ ", "watch p/ 10", "read p/ "});
}

// Guards against entries that expired during an outage and are never removed.
TEST_CASE_METHOD(feed_fixture, "published_feed_store_unavailable_reads_everything_after_recovery")
{
    reader.ok(10);
    reader.fails(read_status::failed);
    reader.fails(read_status::failed);
    reader.fails(read_status::failed);
    reader.ok(20);
    run();
    CHECK(seen ==
          std::vector<std::string>{"regained", "all 0 at 10", "lost", "regained", "all 0 at 20"});
    CHECK(reader.calls.back() == "watch p/ 20");
}

// Guards against watching from a revision whose history the store has discarded.
TEST_CASE_METHOD(feed_fixture, "published_feed_history_lost_reads_everything")
{
    reader.ok(10);
    reader.fails(read_status::history_lost);
    reader.ok(30);
    run();
    CHECK(reader.calls.back() == "watch p/ 30");
}

// Guards against a watch that returns changes already received from other nodes.
TEST_CASE_METHOD(feed_fixture, "published_feed_peers_are_newer_watches_after_their_revision")
{
    reader.ok(10);
    while (reader.calls.empty()) {
        feed.wake();
        context.restart();
        context.run_for(5ms);
    }
    known = 15;
    run();
    CHECK(reader.calls == std::vector<std::string>{"read p/ ", "watch p/ 15"});
}

// Guards against every node of a large fleet calling the store.
TEST_CASE_METHOD(feed_fixture, "published_feed_others_watch_makes_no_further_call")
{
    gossip_members members;
    for (int i = 0; i < 200; ++i) {
        members.push_back({vm_name("vm-" + std::to_string(i)), availability_zone_name("a")});
    }
    reader.ok(10);
    reader.ok(11);
    feed.wake();
    context.run_for(60ms);
    gossip.set_members(members);
    gossip.received({11, 0ms}, 11, boot_clock::now());
    REQUIRE_FALSE(gossip.is_chosen());
    const auto calls = reader.calls.size();
    reader.ok(12);
    reader.ok(13);
    for (int i = 0; i < 20; ++i) {
        gossip.received({11, 0ms}, 11, boot_clock::now());
        feed.wake();
        context.restart();
        context.run_for(20ms);
    }
    CHECK(reader.calls.size() <= calls + 1);
}

// Guards against a node that hangs: an action that scheduled another action for the same time kept
// the queue running forever.
TEST_CASE("deadline_queue_action_adds_due_action_lets_others_run")
{
    asio::io_context context;
    deadline_queue deadlines(context);
    const auto now = boot_clock::now();
    bool stop = false;
    std::function<void()> again = [&] {
        if (!stop) {
            deadlines.at(now, again);
        }
    };
    deadlines.at(now, again);
    asio::steady_timer timer(context, 1ms);
    timer.async_wait([&](auto) { stop = true; });
    context.run();
    CHECK(stop);
}
