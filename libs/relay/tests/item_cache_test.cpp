#include "relay/item_cache.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace trefoil;

namespace {

struct item_cache_fixture {
    item_cache cache;

    static published_item item(const std::string& key, std::uint64_t revision)
    {
        return {key, "v", revision, false};
    }

    /// Version of a revision in the first era.
    static published_version at(std::uint64_t revision) { return {1, revision}; }

    static published_item removal(const std::string& key, std::uint64_t revision)
    {
        return {key, {}, revision, true};
    }

    static std::vector<std::string> keys_of(const published_changes& changes)
    {
        std::vector<std::string> keys;
        for (const auto& i : changes.items) {
            keys.push_back((i.removed ? "-" : "+") + i.key);
        }
        return keys;
    }
};

} // namespace

// Guards against a peer or a late answer replacing an item by an older revision.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_older_item_changes_nothing")
{
    CHECK(cache.replace({item("a", 5)}, at(5)).size() == 1);
    CHECK(cache.merge({item("a", 4)}, 0, at(5))->empty());
    CHECK(cache.replace({item("a", 4)}, at(4)).empty());
    CHECK(cache.changes_since(at(0)).items.front().revision == 5);
}

// Guards against keeping items that are missing from a full read.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_missing_item_is_removed")
{
    cache.replace({item("a", 1), item("b", 2)}, at(3));
    const auto changed = cache.replace({item("a", 1)}, at(9));
    REQUIRE(changed.size() == 1);
    CHECK(changed.front().key == "b");
    CHECK(changed.front().removed);
    CHECK(keys_of(cache.changes_since(at(0))) == std::vector<std::string>{"+a"});
    CHECK(cache.version() == at(9));
}

// Guards against a delayed message that restores a removed item.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_removed_item_stays_removed")
{
    cache.replace({item("a", 1), item("b", 2)}, at(2));
    cache.merge({removal("b", 5)}, 2, at(5));
    CHECK(cache.merge({item("b", 2)}, 0, at(4))->empty());
    CHECK(cache.replace({item("a", 1), item("b", 2)}, at(4)).empty());
    CHECK(keys_of(cache.changes_since(at(0))) == std::vector<std::string>{"+a"});
}

// Guards against missing changes after the loss of an earlier message.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_gap_before_changes_is_reported")
{
    cache.replace({item("a", 1)}, at(3));
    CHECK_FALSE(cache.merge({item("b", 6)}, 5, at(6)).has_value());
    CHECK(cache.version() == at(3));
    CHECK(cache.merge({item("c", 4), item("b", 6)}, 3, at(6)).has_value());
    CHECK(cache.version() == at(6));
}

// Guards against sending the full state where a few changes are sufficient.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_changes_since_has_removals_and_newer_items")
{
    cache.replace({item("a", 1), item("b", 2), item("c", 3)}, at(3));
    cache.merge({removal("a", 4), item("b", 5)}, 3, at(5));
    const auto changes = cache.changes_since(at(3));
    CHECK(changes.base == 3);
    CHECK(changes.version == at(5));
    CHECK(keys_of(changes) == std::vector<std::string>{"-a", "+b"});
}

// Guards against unbounded growth of the kept removals, and against a node that never receives a
// removal.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_discarded_removals_node_gets_full_state")
{
    item_cache small(2);
    small.replace({item("a", 1), item("b", 1), item("c", 1), item("d", 1)}, at(1));
    small.merge({removal("a", 2), removal("b", 3), removal("c", 4)}, 1, at(4));
    CHECK(small.changes_since(at(1)).base == 0);
    CHECK(keys_of(small.changes_since(at(1))) == std::vector<std::string>{"+d"});
    CHECK(keys_of(small.changes_since(at(2))) == std::vector<std::string>{"-b", "-c"});
}

// Guards against a store that has returned from an older copy and is taken for one that lags: its
// revisions are lower than those in the cache, and are given out a second time.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_later_era_replaces_state_at_lower_revision")
{
    cache.replace({item("same", 4), {"old", "before", 20, false}, item("lost", 30)}, at(60));
    const auto changed = cache.replace({item("same", 5), {"old", "after", 19, false}}, {2, 20});
    REQUIRE(changed.size() == 2);
    CHECK(changed.front().key == "old");
    CHECK(changed.front().value == "after");
    CHECK(changed.back().key == "lost");
    CHECK(changed.back().removed);
    CHECK(cache.version() == published_version{2, 20});
    REQUIRE(cache.merge({{"old", "again", 21, false}}, 20, {2, 21}).has_value());
    CHECK(cache.find("old")->value == "again");
    CHECK(cache.find("lost") == nullptr);
}

// Guards against changes of one era that are merged into the state of another.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_changes_of_other_era_are_not_merged")
{
    cache.replace({item("a", 1)}, {2, 10});
    CHECK(cache.merge({item("a", 90)}, 5, {1, 90})->empty());
    CHECK(cache.replace({}, {1, 99}).empty());
    CHECK_FALSE(cache.merge({item("a", 11)}, 10, {3, 11}).has_value());
    CHECK(cache.version() == published_version{2, 10});
    CHECK(cache.find("a")->revision == 1);
}

// Guards against a node of an earlier era that gets changes in place of the full state.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_node_of_earlier_era_gets_full_state")
{
    cache.replace({item("a", 1)}, {2, 10});
    cache.merge({item("b", 11)}, 10, {2, 11});
    CHECK(cache.changes_since({1, 60}).base == 0);
    CHECK(keys_of(cache.changes_since({1, 60})) == std::vector<std::string>{"+a", "+b"});
    CHECK(keys_of(cache.changes_since({2, 10})) == std::vector<std::string>{"+b"});
    CHECK(cache.changes_since({3, 1}).items.empty());
}

// Guards against large values that stay in memory after their items were removed.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_large_value_of_removed_item_is_not_kept")
{
    cache.replace({{"small", "v", 1, false}, {"large", std::string(5000, 'x'), 2, false}}, at(2));
    const auto changed = cache.merge({removal("small", 3), removal("large", 4)}, 2, at(4));
    REQUIRE(changed);
    CHECK(changed->front().value == "v");
    CHECK(changed->back().value.empty());
}
