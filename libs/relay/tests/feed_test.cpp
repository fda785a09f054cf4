#include "deadline_queue.h"

#include "relay/published_feed.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

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

    /// Keeps the next call open until `release`.
    bool hold_next = false;
    read_handler held;

    void release(const read_result& result) { std::exchange(held, nullptr)(result); }

    /// Without a queued answer the call never completes.
    void answer(const read_handler& done)
    {
        if (std::exchange(hold_next, false)) {
            held = done;
            is_waiting = true;
            return;
        }
        if (!answers.empty()) {
            const auto next = answers.front();
            answers.pop_front();
            done(next);
            return;
        }
        is_waiting = true;
    }

    /// Era of the queued answers.
    std::optional<std::uint64_t> era = 1;

    void ok(std::uint64_t revision, std::vector<published_item> items = {}, bool more = false)
    {
        answers.push_back({read_status::ok, std::move(items), more, revision, {}, era});
    }

    void fails(read_status status) { answers.push_back({status, {}, false, 0, "scripted", era}); }
};

struct feed_fixture {
    asio::io_context context;
    scripted_reader reader;
    std::vector<std::string> seen;
    /// Without other members the node calls the store itself.
    revision_gossip gossip{{vm_name("vm"), availability_zone_name("a")}, boot_clock::now()};
    published_version known;
    published_feed<scripted_reader> feed{
        context,
        reader,
        "p/",
        gossip,
        {[this](const auto& items, const published_version& version) {
             known = std::max(known, version);
             seen.push_back("all " + std::to_string(items.size()) + " at " +
                            std::to_string(version.revision));
         },
         [this](const auto& items, std::uint64_t base, const published_version& version) {
             known = std::max(known, version);
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
    known = {1, 15};
    run();
    CHECK(reader.calls == std::vector<std::string>{"read p/ ", "watch p/ 15"});
}

// Guards against changes of a store that has returned from an older copy which are taken for those
// after the watched revision. Some are missing among them, and no answer says so but for its era.
TEST_CASE_METHOD(feed_fixture, "published_feed_watch_of_later_era_reads_everything_once")
{
    reader.ok(10);
    reader.era = 2;
    reader.ok(12, {{"p/a", "", 11}});
    reader.ok(12, {{"p/a", "", 11}, {"p/b", "", 3}});
    run();
    CHECK(reader.calls ==
          std::vector<std::string>{"read p/ ", "watch p/ 10", "read p/ ", "watch p/ 12"});
    CHECK(seen == std::vector<std::string>{"regained", "all 0 at 10", "all 2 at 12"});
    CHECK(known == published_version{2, 12});
}

// Guards against a loop of calls to a store that has returned at a lower revision.
TEST_CASE_METHOD(feed_fixture, "published_feed_history_lost_in_later_era_reads_everything_once")
{
    reader.ok(60);
    reader.era = 2;
    reader.fails(read_status::history_lost);
    reader.ok(20);
    reader.ok(21, {{"p/a", "", 21}});
    run();
    CHECK(reader.calls == std::vector<std::string>{"read p/ ", "watch p/ 60", "read p/ ",
                                                   "watch p/ 20", "watch p/ 21"});
}

// Guards against a state put together from the pages of two eras.
TEST_CASE_METHOD(feed_fixture, "published_feed_era_changes_between_pages_begins_again")
{
    reader.ok(60, {{"p/a", "", 1}}, true);
    reader.era = 2;
    reader.ok(20, {{"p/b", "", 2}});
    reader.ok(20, {{"p/a", "", 1}}, true);
    reader.ok(21, {{"p/b", "", 2}});
    run();
    CHECK(reader.calls == std::vector<std::string>{"read p/ ", "read p/ p/a", "read p/ ",
                                                   "read p/ p/a", "watch p/ 20"});
    CHECK(seen == std::vector<std::string>{"regained", "all 2 at 20"});
}

// Guards against an answer from before the return, late or from a proxy, that is believed.
TEST_CASE_METHOD(feed_fixture, "published_feed_answer_of_earlier_era_changes_nothing")
{
    reader.era = 2;
    reader.ok(20);
    reader.era = 1;
    SECTION("watch")
    {
        reader.ok(70, {{"p/a", "", 70}});
    }
    SECTION("lost history")
    {
        reader.fails(read_status::history_lost);
    }
    reader.era = 2;
    reader.ok(21, {{"p/b", "", 21}});
    run();
    CHECK(reader.calls ==
          std::vector<std::string>{"read p/ ", "watch p/ 20", "watch p/ 20", "watch p/ 21"});
    CHECK(seen == std::vector<std::string>{"regained", "all 0 at 20", "changed p/b after 20"});
}

// Guards against a second full read of an era that peers have told this node of.
TEST_CASE_METHOD(feed_fixture, "published_feed_peers_know_later_era_watches_without_reading")
{
    reader.ok(60);
    while (reader.calls.empty()) {
        feed.wake();
        context.restart();
        context.run_for(5ms);
    }
    // The watch from 60 is open when the state of the new era arrives from a peer.
    reader.is_waiting = false;
    reader.hold_next = true;
    run();
    known = {2, 25};
    reader.era = 2;
    reader.is_waiting = false;
    reader.release({read_status::ok, {{"p/a", "", 61}}, false, 61, {}, 2});
    run();
    CHECK(reader.calls == std::vector<std::string>{"read p/ ", "watch p/ 60", "watch p/ 25"});
}

// Guards against a missing or unusable era that is taken for another era.
TEST_CASE_METHOD(feed_fixture, "published_feed_answers_without_era_continue_the_known_one")
{
    reader.era = 3;
    reader.ok(10);
    reader.era = std::nullopt;
    reader.ok(11, {{"p/a", "", 11}});
    reader.fails(read_status::history_lost);
    reader.ok(12);
    run();
    CHECK(known == published_version{3, 12});
    CHECK(reader.calls.back() == "watch p/ 12");
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
    gossip.received({{1, 11}, 0ms}, {1, 11}, boot_clock::now());
    REQUIRE_FALSE(gossip.is_chosen());
    const auto calls = reader.calls.size();
    reader.ok(12);
    reader.ok(13);
    for (int i = 0; i < 20; ++i) {
        gossip.received({{1, 11}, 0ms}, {1, 11}, boot_clock::now());
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
