#include "spread/exchange_message.h"
#include "spread/message_guard.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>
#include <string>

using namespace std::chrono_literals;
using trefoil::exchange_message;
using trefoil::message_refusal;
using trefoil::vm_name;

struct message_fixture {
    static std::string name()
    {
        return *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
    }

    static trefoil::crash_report any_report()
    {
        trefoil::crash_report report;
        report.fingerprint = {*rc::gen::arbitrary<std::uint64_t>()};
        report.crashes = {{{vm_name(name()), {*rc::gen::arbitrary<std::uint64_t>()}, 3},
                           *rc::gen::inRange(0, 600'000) * 1ms,
                           *rc::gen::arbitrary<bool>()}};
        report.ids = {trefoil::request_id::from_parts(trefoil::wall_time(1700000000000ms),
                                                      *rc::gen::arbitrary<std::uint64_t>(), 7)};
        report.ids_complete = *rc::gen::arbitrary<bool>();
        return report;
    }

    static exchange_message any_message()
    {
        exchange_message message;
        message.header = {name(), 1, vm_name(name()), *rc::gen::arbitrary<std::uint64_t>(),
                          *rc::gen::arbitrary<std::uint64_t>()};
        message.config = {*rc::gen::arbitrary<std::uint64_t>()};
        message.config_digest = {*rc::gen::arbitrary<std::uint64_t>()};
        message.list = {*rc::gen::arbitrary<std::uint64_t>()};
        message.list_digest = {*rc::gen::arbitrary<std::uint64_t>()};
        if (*rc::gen::arbitrary<bool>()) {
            message.contact_age = *rc::gen::inRange(0, 100'000) * 1ms;
        }
        const auto entries = *rc::gen::inRange(0, 8);
        for (int i = 0; i < entries; ++i) {
            message.leaving.push_back({vm_name(name()), *rc::gen::arbitrary<std::uint64_t>()});
            message.suspected.emplace_back(name());
            message.crashes.push_back(any_report());
        }
        return message;
    }

    trefoil::message_guard guard{{.cluster = "serra"}};

    std::optional<message_refusal> check(std::uint64_t incarnation, std::uint64_t sequence)
    {
        return guard.check(
            {"serra", trefoil::protocol_version, vm_name("a"), incarnation, sequence}, 100);
    }
};

// Guards against fields that are lost or exchanged by serialization.
TEST_CASE_METHOD(message_fixture, "exchange_message_any_content_round_trips_through_json")
{
    REQUIRE(rc::check([] {
        const auto message = any_message();
        RC_ASSERT(trefoil::parse_exchange(to_json(message)) == message);
    }));
}

// Guards against a crash on input from the network.
TEST_CASE_METHOD(message_fixture, "exchange_message_arbitrary_bytes_parse_or_throw_their_type")
{
    REQUIRE(rc::check([] {
        auto text = *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                    rc::gen::construct<std::string>(
                                        rc::gen::inRange<std::size_t>(0, 5000), rc::gen::just('[')),
                                    rc::gen::exec([] { return to_json(any_message()); }));
        // Replacing one byte of a valid message reaches more of the parser than random bytes alone.
        if (!text.empty()) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        }
        try {
            trefoil::parse_exchange(text);
        }
        catch (const trefoil::invalid_message&) {
            RC_SUCCEED("refused");
        }
    }));
}

// Guards against exceptions of jsoncpp itself, which it throws for a field of an unexpected type.
TEST_CASE_METHOD(message_fixture, "exchange_message_field_of_another_type_is_refused")
{
    for (const char* key : {"cluster", "protocol", "from", "config", "list", "contact_age_ms",
                            "leaving", "suspected", "crashes"}) {
        for (const char* value : {"null", "-1", "1.5", "true", "[[1]]", "{\"a\":1}"}) {
            exchange_message message;
            message.contact_age = 1ms;
            auto text = to_json(message);
            const auto at =
                text.find(std::string("\"") + key + "\":") + std::string(key).size() + 3;
            // The old value is kept under another key.
            text.insert(at, std::string(value) + ",\"x\":");
            CAPTURE(text);
            REQUIRE_THROWS_AS(trefoil::parse_exchange(text), trefoil::invalid_message);
        }
    }
}

// Guards against messages whose size increases without limit with the number of crashes or leaving
// VMs (section 7: 256 KB).
TEST_CASE_METHOD(message_fixture,
                 "exchange_message_with_too_many_entries_is_truncated_when_written")
{
    exchange_message message;
    message.header.from = vm_name(std::string(trefoil::max_name_bytes, 'v'));
    message.leaving.resize(5000, {message.header.from, UINT64_MAX});
    message.suspected.resize(5000, message.header.from);
    trefoil::crash_report report{{UINT64_MAX}, {}, {}, true};
    report.crashes.resize(5000, {{message.header.from, {UINT64_MAX}, UINT64_MAX}, 1h, false});
    report.ids.resize(5000, trefoil::request_id::from_parts({}, 0, 1));
    message.crashes.resize(5000, report);
    message.crashes[0].fingerprint = {1};
    const auto text = to_json(message);
    REQUIRE(text.size() < std::size_t{128} * 1024);
    const auto read = trefoil::parse_exchange(text);
    REQUIRE(read.crashes.size() == exchange_message::max_crash_reports);
    REQUIRE(read.crashes[0].fingerprint.value == 1);
    REQUIRE_FALSE(read.crashes[0].ids_complete);
}

// Guards against processing messages of unknown senders, of other protocol versions or clusters,
// and of more than the maximum size.
TEST_CASE_METHOD(message_fixture, "message_guard_foreign_message_is_refused_and_counted_by_reason")
{
    guard.set_members({vm_name("a")});
    REQUIRE(guard.check({"other", 1, vm_name("a"), 1, 1}, 100) == message_refusal::other_cluster);
    REQUIRE(guard.check({"serra", 2, vm_name("a"), 1, 1}, 100) == message_refusal::other_protocol);
    REQUIRE(guard.check({"serra", 1, vm_name("b"), 1, 1}, 100) == message_refusal::unknown_sender);
    REQUIRE(guard.check({"serra", 1, vm_name("a"), 1, 1}, std::size_t{256} * 1024 + 1) ==
            message_refusal::oversized);
    for (const auto reason : {message_refusal::other_cluster, message_refusal::other_protocol,
                              message_refusal::unknown_sender, message_refusal::oversized}) {
        REQUIRE(guard.refused(reason) == 1);
    }
    REQUIRE_FALSE(check(1, 1));
}

// Guards against processing a message twice, and against refusing one that arrived out of order.
TEST_CASE_METHOD(message_fixture, "message_guard_any_order_accepts_each_recent_sequence_once")
{
    REQUIRE(rc::check([] {
        trefoil::message_guard any_guard{{.cluster = "serra"}};
        any_guard.set_members({vm_name("a")});
        std::set<std::uint64_t> seen;
        std::uint64_t highest = 0;
        const auto sequences = *rc::gen::container<std::vector<std::uint64_t>>(
            300, rc::gen::inRange<std::uint64_t>(1, 250));
        for (const auto sequence : sequences) {
            const bool is_recent = sequence + trefoil::message_guard::window >= highest;
            const bool expected = is_recent && !seen.contains(sequence);
            const auto refusal = any_guard.check({"serra", 1, vm_name("a"), 9, sequence}, 100);
            RC_ASSERT(!refusal == expected);
            RC_ASSERT(expected || refusal == message_refusal::replayed);
            seen.insert(sequence);
            highest = std::max(highest, sequence);
        }
    }));
}

// Guards against messages of a terminated process that arrive after its successor started.
TEST_CASE_METHOD(message_fixture,
                 "message_guard_earlier_incarnation_is_refused_and_a_new_one_starts_over")
{
    guard.set_members({vm_name("a")});
    REQUIRE_FALSE(check(5, 100));
    REQUIRE_FALSE(check(6, 1));
    REQUIRE(check(5, 101) == message_refusal::replayed);
    REQUIRE(check(6, 1) == message_refusal::replayed);
    REQUIRE(guard.refused(message_refusal::replayed) == 2);
}
