#include "replica_fixture.h"

#include <catch2/catch.hpp>

using namespace trefoil;

namespace {

struct replica_fixture {
    plain_node node;
    plain_replica replica{plain_items(), node};

    replica_fixture()
    {
        replica.replace({config_item(40, 1), target_item("a", 2, 10), target_item("b", 3, 10)},
                        {1, 10});
    }

    /// The state that the store returns with: that of the start.
    state_update return_from_copy(std::uint64_t era = 2)
    {
        return replica.replace(
            {config_item(40, 1), target_item("a", 2, 10), target_item("b", 3, 10)}, {era, 10});
    }
};

struct peers_fixture : replica_fixture {
    plain_node other_node;
    plain_replica other{plain_items(), other_node};

    /// `other` asks for what it lacks, and the answer reaches it.
    state_update pull()
    {
        return other.receive(replica.changes_since(other.version(), other.config()));
    }
};

} // namespace

// Guards against a configuration that regresses in the lifetime of a process.
TEST_CASE_METHOD(replica_fixture, "store_replica_newer_config_stays_until_it_is_written_again")
{
    replica.merge({config_item(43, 11)}, 10, {1, 11});
    return_from_copy();
    CHECK(node.config == config_version{43});
    CHECK(replica.retained() == 1);
    // The operator repeats an older version first.
    replica.merge({config_item(41, 11)}, 10, {2, 11});
    CHECK(replica.retained() == 1);
    replica.merge({config_item(43, 12)}, 11, {2, 12});
    CHECK(replica.retained() == 0);
    replica.merge({config_item(44, 13)}, 12, {2, 13});
    CHECK(node.config == config_version{44});
}

// Guards against the same if the copy has no configuration at all.
TEST_CASE_METHOD(replica_fixture, "store_replica_copy_without_config_keeps_config")
{
    replica.replace({target_item("a", 2, 10)}, {2, 4});
    CHECK(node.config == config_version{40});
    CHECK(replica.config() == config_version{40});
    CHECK(replica.changes_since({}, {}).retained.size() == 1);
}

// Guards against requests at a target that is leaving or gone, whose entry in the copy is ready.
TEST_CASE_METHOD(replica_fixture, "store_replica_target_that_left_does_not_come_back_from_copy")
{
    SECTION("announced")
    {
        replica.merge({target_item("a", 11, 11, "leaving")}, 10, {1, 11});
        return_from_copy();
        CHECK(node.state_of("a") == "leaving");
    }
    SECTION("entry removed")
    {
        replica.merge({removal("a", 11)}, 10, {1, 11});
        return_from_copy();
        CHECK(node.state_of("a") == "none");
    }
    SECTION("announced, then removed")
    {
        replica.merge({target_item("a", 11, 11, "leaving")}, 10, {1, 11});
        replica.merge({removal("a", 12)}, 11, {1, 12});
        return_from_copy();
        CHECK(node.state_of("a") == "none");
    }
    SECTION("removed, seen in a full read")
    {
        replica.replace({config_item(40, 1), target_item("b", 3, 10)}, {1, 12});
        return_from_copy();
        CHECK(node.state_of("a") == "none");
    }
    SECTION("two returns in a row")
    {
        replica.merge({removal("a", 11)}, 10, {1, 11});
        replica.replace({config_item(40, 1), target_item("b", 3, 10)}, {2, 10});
        return_from_copy(3);
        CHECK(node.state_of("a") == "none");
    }
    CHECK(node.state_of("b") == "ready");
    // What the target writes after the return counts.
    const auto next = replica.version().revision + 1;
    replica.merge({target_item("a", next, 12)}, next - 1, {replica.version().era, next});
    CHECK(node.state_of("a") == "ready");
    CHECK(replica.retained() == 0);
}

// Guards against a target that left, came back and is taken for gone when a copy has an entry of
// before it left.
TEST_CASE_METHOD(replica_fixture, "store_replica_target_that_came_back_is_not_taken_for_gone")
{
    replica.merge({removal("a", 11), target_item("a", 12, 15)}, 10, {1, 12});
    return_from_copy();
    CHECK(node.state_of("a") == "ready");
}

// Guards against a departure that is forgotten since the target's last entry came with its removal.
TEST_CASE_METHOD(replica_fixture, "store_replica_entry_and_removal_in_one_answer_is_a_departure")
{
    replica.merge({target_item("a", 11, 11, "leaving"), removal("a", 12)}, 10, {1, 12});
    return_from_copy();
    CHECK(node.state_of("a") == "none");
}

// Guards against an older last entry of a target that takes the place of the newest known one: the
// copy of a later return may have one in between.
TEST_CASE_METHOD(replica_fixture, "store_replica_departure_keeps_the_newest_known_entry")
{
    replica.merge({target_item("a", 11, 15, "leaving")}, 10, {1, 11});
    replica.merge({removal("a", 12)}, 11, {1, 12});
    return_from_copy();
    replica.merge({removal("a", 11)}, 10, {2, 11});
    replica.replace({config_item(40, 1), target_item("a", 2, 12), target_item("b", 3, 10)},
                    {3, 10});
    CHECK(node.state_of("a") == "none");
}

// Guards against a target that started again under its id and is taken for the one that left.
TEST_CASE_METHOD(replica_fixture, "store_replica_new_start_of_target_is_used")
{
    replica.merge({removal("a", 11)}, 10, {1, 11});
    return_from_copy();
    replica.merge({target_item("a", 11, 1, "ready", 2)}, 10, {2, 11});
    CHECK(node.state_of("a") == "ready");
    CHECK(node.targets.find("a")->entry.id.start == 2);
}

// Guards against live targets that are dropped since the copy lacks their entries, and against ones
// that are kept for longer than after an outage.
TEST_CASE_METHOD(replica_fixture, "store_replica_missing_target_is_kept_for_the_confirmation_time")
{
    using namespace std::chrono_literals;
    replica.merge({target_item("d", 11, 1), target_item("e", 12, 1)}, 10, {1, 12});
    node.targets.on_store_returned(node.now);
    return_from_copy();
    CHECK(node.state_of("d") == "ready");
    CHECK(node.state_of("e") == "ready");
    replica.merge({target_item("d", 11, 2)}, 10, {2, 11});
    node.now += 2499ms;
    CHECK(node.targets.expire(node.now).empty());
    node.now += 1ms;
    CHECK(node.targets.expire(node.now) == std::vector<std::string>{"e"});
    CHECK(node.state_of("d") == "ready");
}

// Guards against an unusable configuration in the copy that takes the place of a sound one.
TEST_CASE_METHOD(replica_fixture, "store_replica_unreadable_config_in_copy_keeps_config")
{
    replica.replace({{"c", "x", 2, false}}, {2, 4});
    CHECK(node.config == config_version{40});
    CHECK(replica.retained() == 1);
}

// Guards against a node that is restarted or was cut off while the store returned, and believes the
// older copy though other nodes know better.
TEST_CASE_METHOD(peers_fixture, "store_replica_node_that_starts_learns_what_others_retain")
{
    replica.merge({config_item(43, 11), target_item("a", 12, 11, "leaving"), removal("b", 13)}, 10,
                  {1, 13});
    return_from_copy();
    SECTION("it has read the copy itself")
    {
        other.replace({config_item(40, 1), target_item("a", 2, 10), target_item("b", 3, 10)},
                      {2, 10});
        CHECK(other_node.state_of("b") == "ready");
    }
    SECTION("it has nothing") {}
    SECTION("it is at an earlier state")
    {
        other.replace({config_item(39, 1), target_item("a", 2, 9), target_item("b", 3, 10)},
                      {1, 8});
    }
    CHECK(pull().need == state_need::nothing);
    CHECK(other.version() == published_version{2, 10});
    CHECK(other_node.config == config_version{43});
    CHECK(other_node.state_of("a") == "leaving");
    CHECK(other_node.state_of("b") == "none");
    CHECK_FALSE(pull().has_adopted);
    // It retains the same itself.
    plain_node third_node;
    plain_replica third(plain_items(), third_node);
    third.receive(other.changes_since({}, {}));
    CHECK(third_node.config == config_version{43});
    CHECK(third_node.state_of("b") == "none");
}

// Guards against a configuration of up to a megabyte that is sent to nodes that have it.
TEST_CASE_METHOD(peers_fixture, "store_replica_retained_config_is_sent_only_to_nodes_that_lack_it")
{
    replica.merge({config_item(43, 11)}, 10, {1, 11});
    return_from_copy();
    CHECK(replica.notice().retained.empty());
    CHECK(replica.notice().retained_config == config_version{43});
    CHECK(other.receive(replica.notice()).need == state_need::changes);
    pull();
    CHECK(replica.changes_since(other.version(), other.config()).retained.empty());
    CHECK(other.receive(replica.notice()).need == state_need::nothing);
}

// Guards against a message of before the return that arrives late and overrules the new era.
TEST_CASE_METHOD(peers_fixture, "store_replica_late_message_of_earlier_era_changes_nothing")
{
    pull();
    replica.merge({target_item("a", 11, 11, "leaving"), config_item(41, 12)}, 10, {1, 12});
    const auto late = replica.changes_since({1, 10}, {});
    other.replace({config_item(42, 8), target_item("b", 3, 10)}, {2, 9});
    const auto update = other.receive(late);
    CHECK(update.items.empty());
    CHECK(update.need == state_need::nothing);
    CHECK(other.version() == published_version{2, 9});
    CHECK(other_node.config == config_version{42});
}

// Guards against changes of a later era that are merged into the state of an earlier one.
TEST_CASE_METHOD(peers_fixture, "store_replica_notice_of_later_era_is_answered_by_a_request")
{
    pull();
    return_from_copy();
    replica.merge({target_item("d", 11, 1)}, 10, {2, 11});
    const auto update = other.receive(replica.notice());
    CHECK(update.need == state_need::changes);
    CHECK(other.version() == published_version{1, 10});
    CHECK(pull().is_new_era());
    CHECK(other_node.state_of("d") == "ready");
}

// Guards against a removal that a node misses: one that has just read everything does not know
// which items were written and removed before, and cannot tell others of them.
TEST_CASE_METHOD(peers_fixture, "store_replica_removal_unknown_to_the_sender_is_found_by_digest")
{
    pull();
    // Target d is written at revision 11 and removed at 14; only `other` has seen it.
    other.merge({target_item("d", 11, 1)}, 10, {1, 11});
    const std::vector<published_item> items = {config_item(40, 1), target_item("a", 2, 10),
                                               target_item("b", 15, 11)};
    published_changes message;
    SECTION("the sender has just started")
    {
        plain_node started_node;
        plain_replica started(plain_items(), started_node);
        started.replace(items, {1, 15});
        message = started.changes_since(other.version(), other.config());
    }
    SECTION("the sender has read everything again and pushes what is new")
    {
        message = replica.changes_to_push(replica.replace(items, {1, 15}));
    }
    replica.replace(items, {1, 15});
    CHECK(other.receive(message).need == state_need::full_state);
    // The request or its answer may be lost: the node stays behind, and so asks again.
    CHECK(other.version() == published_version{1, 11});
    const auto full = replica.changes_since({1, 0}, other.config());
    CHECK(other.receive(full).need == state_need::nothing);
    CHECK(other_node.state_of("d") == "none");
    CHECK(other.version() == published_version{1, 15});
    CHECK(replica.changes_since(other.version(), other.config()).items.empty());
}

// Guards against full states that are sent for a state that is the same.
TEST_CASE_METHOD(peers_fixture, "store_replica_same_state_is_not_requested_again")
{
    pull();
    for (std::uint64_t r = 11; r < 40; ++r) {
        replica.merge({r % 3 == 0 ? removal("b", r) : target_item("b", r, r)}, r - 1, {1, r});
        CHECK(pull().need == state_need::nothing);
    }
    replica.replace(replica.changes_since({}, {}).items, {1, 50});
    CHECK(pull().need == state_need::nothing);
    CHECK(other.version() == published_version{1, 50});
}

// Guards against a live target that is kept out of use for good: its entry expired while it could
// not reach the store, and the copy has it.
TEST_CASE_METHOD(peers_fixture, "store_replica_target_that_keeps_its_entry_is_used_again")
{
    pull();
    replica.merge({removal("b", 11)}, 10, {1, 11});
    pull();
    return_from_copy();
    pull();
    REQUIRE(node.state_of("b") == "none");
    REQUIRE(other_node.state_of("b") == "none");
    const auto begin = node.now;
    replica.release_departures(begin, true);
    replica.release_departures(begin + plain_replica::departure_hold_time - std::chrono::seconds(1),
                               true);
    CHECK(node.state_of("b") == "none");
    replica.release_departures(begin + plain_replica::departure_hold_time, true);
    CHECK(node.state_of("b") == "ready");
    CHECK(replica.retained() == 0);
    // A node that still keeps it out of use does not change that.
    CHECK_FALSE(replica.receive(other.notice()).has_adopted);
    CHECK(node.state_of("b") == "ready");
    // But that it leaves later does.
    replica.merge({removal("b", 11)}, 10, {2, 11});
    return_from_copy(3);
    CHECK(node.state_of("b") == "none");
}

// Guards against a paused node of an earlier era that has others keep a live target out of use.
TEST_CASE_METHOD(peers_fixture, "store_replica_retained_items_of_earlier_era_are_not_adopted")
{
    pull();
    replica.merge({removal("b", 11)}, 10, {1, 11});
    pull();
    return_from_copy();
    pull();
    REQUIRE(other.retained() == 1);
    // The target writes again, and the store returns once more; `other` hears of neither.
    replica.merge({target_item("b", 11, 12)}, 10, {2, 11});
    return_from_copy(3);
    CHECK_FALSE(replica.receive(other.notice()).has_adopted);
    CHECK(node.state_of("b") == "ready");
}

// Guards against a loop of requests between two nodes for a configuration that cannot be decoded.
TEST_CASE_METHOD(peers_fixture, "store_replica_unreadable_retained_config_is_requested_once")
{
    replica.merge({{"c", "x", 11, false}}, 10, {1, 11});
    replica.replace({target_item("a", 2, 10)}, {2, 4});
    CHECK(other.receive(replica.notice()).need == state_need::changes);
    CHECK(pull().need == state_need::nothing);
}

// Guards against a departure that is forgotten early, since its target had left and come back
// before.
TEST_CASE("retained_items_departure_after_a_return_counts_as_recent")
{
    retained_items items(2);
    items.record_departure({{"t/a", "1 1 ready", 1, true}, 1});
    items.forget_departure("t/a");
    items.record_departure({{"t/b", "1 1 ready", 2, true}, 1});
    items.record_departure({{"t/a", "1 2 ready", 3, true}, 1});
    items.record_departure({{"t/c", "1 1 ready", 4, true}, 1});
    CHECK(items.find_departure("t/a") != nullptr);
    CHECK(items.find_departure("t/b") == nullptr);
}

// Guards against a node that is cut from the store, and uses a target again whose entry may be
// gone.
TEST_CASE_METHOD(replica_fixture, "store_replica_without_contact_no_departure_is_released")
{
    replica.merge({removal("b", 11)}, 10, {1, 11});
    return_from_copy();
    const auto begin = node.now;
    const auto hold_time = plain_replica::departure_hold_time;
    replica.release_departures(begin, true);
    replica.release_departures(begin + hold_time, false);
    CHECK(node.state_of("b") == "none");
    replica.release_departures(begin + hold_time, true);
    CHECK(node.state_of("b") == "none");
    replica.release_departures(begin + 2 * hold_time, true);
    CHECK(node.state_of("b") == "ready");
}
