#include "replica_fixture.h"

#include <catch2/catch.hpp>

using namespace trefoil;

namespace {

/// Two nodes with the state of the copy, in the first era.
struct two_nodes_fixture {
    const std::vector<published_item> copy{config_item(40, 1), target_item("a", 2, 10),
                                           target_item("b", 3, 10)};
    const std::vector<published_item> without_a{copy[0], copy[2]};
    plain_node node;
    plain_replica replica{plain_items(), node};
    plain_node other_node;
    plain_replica other{plain_items(), other_node};

    /// A node requests changes, and the full state if the answer leads to that.
    static void pull(plain_replica& to, const plain_replica& from)
    {
        const auto answer = from.changes_since(to.version(), {});
        if (to.receive(answer).need == state_need::full_state) {
            to.receive(from.changes_since({to.version().era, 0}, {}));
        }
    }

    two_nodes_fixture()
    {
        replica.replace(copy, {1, 10});
        other.replace(copy, {1, 10});
    }
};

} // namespace

// Guards against a departure that is forgotten, since the entry that announced it came with it.
TEST_CASE_METHOD(two_nodes_fixture, "store_replica_leaving_and_removal_in_one_answer_stay_known")
{
    replica.merge({target_item("a", 11, 11, "leaving"), removal("a", 12)}, 10, {1, 12});
    replica.replace(copy, {2, 10});
    CHECK(node.state_of("a") == "none");
}

// Guards against a peer that misses a change which the sender had from a page newer than its
// version.
TEST_CASE_METHOD(two_nodes_fixture, "store_replica_push_after_mixed_pages_has_all_changes")
{
    const auto changed = target_item("b", 11, 1, "ready", 2);
    replica.replace({copy[0], copy[1], changed}, {1, 10});
    const auto update = replica.merge({changed, config_item(41, 12)}, 10, {1, 12});
    CHECK(other.receive(replica.changes_to_push(update)).need == state_need::nothing);
    CHECK(other.version() == published_version{1, 12});
    CHECK(other_node.targets.find("b")->entry.id.start == 2);
}

// Guards against a target that stays in use at a node that was behind, since the node that it asked
// has read the store in full after the removal.
TEST_CASE_METHOD(two_nodes_fixture, "store_replica_removal_before_full_read_reaches_node_behind")
{
    plain_node third_node;
    plain_replica third(plain_items(), third_node);
    SECTION("first read")
    {
        third.replace(without_a, {1, 12});
        pull(replica, third);
    }
    SECTION("read of a new era")
    {
        replica.replace(copy, {2, 10});
        other.replace(without_a, {2, 12});
        pull(replica, other);
    }
    SECTION("read of the same era, registered and removed meanwhile")
    {
        replica.merge({target_item("d", 11, 1)}, 10, {1, 11});
        other.replace(copy, {1, 13});
        pull(replica, other);
        CHECK(node.state_of("d") == "none");
        return;
    }
    CHECK(node.state_of("a") == "none");
}

// Guards against a departure that is not remembered, since the node has the entry from the era
// before.
TEST_CASE_METHOD(two_nodes_fixture,
                 "store_replica_removal_in_new_era_of_missing_target_stays_known")
{
    node.targets.on_store_returned(node.now);
    // The second page was read after the removal.
    replica.replace(without_a, {2, 10});
    replica.merge({removal("a", 11)}, 10, {2, 11});
    replica.replace(copy, {3, 10});
    node.now += std::chrono::seconds(3);
    node.targets.expire(node.now);
    CHECK(node.state_of("a") == "none");
}

// Guards against a target that a late answer of a watch brings back, though the state is newer.
TEST_CASE_METHOD(two_nodes_fixture, "store_replica_late_watch_answer_brings_no_removed_target_back")
{
    replica.merge({removal("a", 11)}, 10, {1, 11});
    // Registered again at 12 and removed at 13, both unseen.
    replica.replace(without_a, {1, 14});
    replica.merge({target_item("a", 12, 15)}, 11, {1, 12});
    CHECK(node.state_of("a") == "none");
}

// Guards against a target that is gone and comes back by a read of the new era that is older than
// the second page of the one before.
TEST_CASE_METHOD(two_nodes_fixture,
                 "store_replica_later_read_of_era_brings_no_departed_target_back")
{
    replica.merge({removal("a", 11)}, 10, {1, 11});
    replica.replace(without_a, {2, 10});
    replica.replace(copy, {2, 11});
    CHECK(node.state_of("a") == "none");
}
