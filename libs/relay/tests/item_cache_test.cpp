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
    CHECK(cache.merge({item("a", 5)}, 0, 5)->size() == 1);
    CHECK(cache.merge({item("a", 4)}, 0, 5)->empty());
    CHECK(cache.replace({item("a", 4)}, 4).empty());
    CHECK(cache.changes_since(0).items.front().revision == 5);
}

// Guards against keeping items that are missing from a full read.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_missing_item_is_removed")
{
    cache.replace({item("a", 1), item("b", 2)}, 3);
    const auto changed = cache.replace({item("a", 1)}, 9);
    REQUIRE(changed.size() == 1);
    CHECK(changed.front().key == "b");
    CHECK(changed.front().removed);
    CHECK(keys_of(cache.changes_since(0)) == std::vector<std::string>{"+a"});
    CHECK(cache.revision() == 9);
}

// Guards against a delayed message that restores a removed item.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_removed_item_stays_removed")
{
    cache.replace({item("a", 1), item("b", 2)}, 2);
    cache.merge({removal("b", 5)}, 2, 5);
    CHECK(cache.merge({item("b", 2)}, 0, 4)->empty());
    CHECK(cache.replace({item("a", 1), item("b", 2)}, 4).empty());
    CHECK(keys_of(cache.changes_since(0)) == std::vector<std::string>{"+a"});
}

// Guards against missing changes after the loss of an earlier message.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_gap_before_changes_is_reported")
{
    cache.replace({item("a", 1)}, 3);
    CHECK_FALSE(cache.merge({item("b", 6)}, 5, 6).has_value());
    CHECK(cache.revision() == 3);
    CHECK(cache.merge({item("c", 4), item("b", 6)}, 3, 6).has_value());
    CHECK(cache.revision() == 6);
}

// Guards against sending the full state where a few changes are sufficient.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_changes_since_has_removals_and_newer_items")
{
    cache.replace({item("a", 1), item("b", 2), item("c", 3)}, 3);
    cache.merge({removal("a", 4), item("b", 5)}, 3, 5);
    const auto changes = cache.changes_since(3);
    CHECK(changes.base == 3);
    CHECK(changes.revision == 5);
    CHECK(keys_of(changes) == std::vector<std::string>{"-a", "+b"});
}

// Guards against unbounded growth of the kept removals, and against a node that never receives a
// removal.
TEST_CASE_METHOD(item_cache_fixture, "item_cache_discarded_removals_node_gets_full_state")
{
    item_cache small(2);
    small.replace({item("a", 1), item("b", 1), item("c", 1), item("d", 1)}, 1);
    small.merge({removal("a", 2), removal("b", 3), removal("c", 4)}, 1, 4);
    CHECK(small.changes_since(1).base == 0);
    CHECK(keys_of(small.changes_since(1)) == std::vector<std::string>{"+d"});
    CHECK(keys_of(small.changes_since(2)) == std::vector<std::string>{"-b", "-c"});
}
