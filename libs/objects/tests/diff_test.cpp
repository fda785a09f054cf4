#include "generators.h"
#include "objects/diff_objects.h"

#include <catch2/catch.hpp>

using namespace trefoil;
using namespace trefoil_test;

struct diff_fixture {
    static std::vector<std::string> changes(const object_set& before, const object_set& after)
    {
        std::vector<std::string> lines;
        for (const auto& change : diff_objects(before, after)) {
            lines.push_back(describe(change));
        }
        return lines;
    }
};

// Guards against a diff that omits a change, which an operator would then publish unnoticed.
TEST_CASE_METHOD(diff_fixture, "diff_of_added_removed_and_changed_objects_names_each_field")
{
    object_set before;
    before.groups = {{group_name("a"), 1}, {group_name("b"), 2}};
    before.calls = {{service_name("s"), service_name("t"), {kind_name("k")}}};
    object_set after;
    after.groups = {{group_name("c"), 0.5}, {group_name("b"), 3}};
    after.calls = {{service_name("s"), service_name("t"), {}}};
    REQUIRE(changes(before, after) ==
            std::vector<std::string>{"changed call s->t: kinds [\"k\"] -> (absent)",
                                     "removed group a: share 1", "changed group b: share 2 -> 3",
                                     "added group c: share 0.5"});
}

TEST_CASE_METHOD(diff_fixture, "diff_of_any_two_sets_is_empty_only_if_they_are_equal")
{
    REQUIRE(rc::check([] {
        const auto one = any_valid_set();
        const auto other = any_valid_set();
        const bool equal = canonical_order(one) == canonical_order(other);
        RC_ASSERT(diff_objects(one, other).empty() == equal);
        RC_ASSERT(diff_objects(one, other).size() == diff_objects(other, one).size());
    }));
}
