#include "once/id_ledger.h"
#include "once/owner_of.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <atomic>
#include <string>
#include <thread>

using namespace trefoil;
using namespace std::chrono_literals;

struct ledger_fixture {
    mono_time now{1h};
    once_options options;

    static request_id id(std::uint64_t n) { return request_id::from_parts({}, n, n * 7); }
};

// Guards against two concurrent repeats that are both handed off.
TEST_CASE_METHOD(ledger_fixture, "ledger_concurrent_begin_of_one_id_records_once")
{
    id_ledger ledger(options);
    std::atomic<int> recorded = 0;
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&] {
            for (std::uint64_t n = 0; n < 2'000; ++n) {
                recorded += ledger.begin(id(n), 0, now + 30s, now).recorded ? 1 : 0;
            }
        });
    }
    threads.clear();
    REQUIRE(recorded == 2'000);
}

// Guards against unbounded memory and against the eviction of an entry before its id has expired.
TEST_CASE_METHOD(ledger_fixture, "ledger_when_full_refuses_until_entries_expire")
{
    options.ledger_shards = 1;
    options.ledger_entries = 4;
    id_ledger ledger(options);
    REQUIRE(ledger.refuse(id(8), 1, now + 30s, now));
    REQUIRE(ledger.refuse(id(9), 1, now + 30s, now));
    REQUIRE_FALSE(ledger.refuse(id(0), 1, now + 30s, now));
    REQUIRE(ledger.begin(id(1), 0, now + 30s, now).recorded);
    REQUIRE(ledger.begin(id(2), 0, now + 30s, now).recorded);
    REQUIRE(ledger.begin(id(3), 0, now + 30s, now).full);
    REQUIRE(ledger.begin(id(3), 0, now + 61s, now + 31s).recorded);
    REQUIRE(ledger.size() == 1);
}

// Guards against double execution by a thread that was paused for longer than the id lifetime, so
// that the entry has been removed.
TEST_CASE_METHOD(ledger_fixture, "ledger_begin_with_stale_time_after_expiry_is_refused")
{
    options.ledger_shards = 1;
    id_ledger ledger(options);
    REQUIRE(ledger.begin(id(1), 0, now + 30s, now).recorded);
    ledger.finish(id(1), "done");
    ledger.begin(id(2), 0, now + 62s, now + 32s);
    REQUIRE_FALSE(ledger.begin(id(1), 1, now + 30s, now).recorded);
    REQUIRE_FALSE(ledger.refuse(id(1), 1, now + 30s, now));
}

// Guards against stored answers beyond the size bounds and against replays of a wrong answer.
TEST_CASE_METHOD(ledger_fixture, "ledger_finish_stores_answer_within_bounds_only")
{
    options.max_answer_bytes = 8;
    options.ledger_answer_bytes = 12;
    id_ledger ledger(options);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        ledger.begin(id(n), 0, now + 30s, now);
    }
    ledger.finish(id(1), "12345678");
    ledger.finish(id(2), "123456789");
    ledger.finish(id(3), "12345");
    REQUIRE(*ledger.find(id(1)).answer == "12345678");
    REQUIRE(ledger.find(id(2)).answer == nullptr);
    REQUIRE(ledger.find(id(3)).answer == nullptr);
    REQUIRE(ledger.find(id(2)).state == id_state::finished);
    REQUIRE(ledger.answer_bytes() == 8);
}

// Guards against ids that change owner although their owner is still a member.
TEST_CASE("owner_of_when_a_member_leaves_moves_only_its_ids")
{
    REQUIRE(rc::check([](std::uint64_t high, std::uint64_t low) {
        const int size = *rc::gen::inRange(2, 30);
        std::vector<vm_name> names;
        names.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            names.emplace_back("vm" + std::to_string(i));
        }
        const auto id = request_id::from_parts({}, high, low);
        const member_list all({1}, names);
        const vm_name owner = *owner_of(id, all);
        const auto leaver = names.begin() + *rc::gen::inRange(0, size);
        const bool owner_leaves = *leaver == owner;
        names.erase(leaver);
        const member_list rest({2}, names);
        RC_ASSERT((*owner_of(id, rest) == owner) == !owner_leaves);
    }));
}
