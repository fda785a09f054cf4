#include "dispatch/target_identity.h"

#include <catch2/catch.hpp>

namespace {

struct target_identity_fixture {
    trefoil::target_identity identity;
};

} // namespace

// Guards against requests that are refused for as long as the store holds an earlier id.
TEST_CASE_METHOD(target_identity_fixture, "target_identity_refused_id_stands_for_the_learned_one")
{
    CHECK(identity.expected("old") == "old");
    identity.refused("old");
    CHECK(identity.expected("old") == "old");
    identity.learned("new");
    CHECK(identity.expected("old") == "new");
}

// Guards against a learned id that replaces a newer one which other nodes have from the store.
TEST_CASE_METHOD(target_identity_fixture, "target_identity_id_that_was_not_refused_is_kept")
{
    identity.refused("old");
    identity.learned("new");
    CHECK(identity.expected("newer") == "newer");
    identity.refused("new");
    CHECK(identity.expected("old") == "old");
    identity.learned("newer");
    CHECK(identity.expected("old") == "newer");
    CHECK(identity.expected("new") == "newer");
}

// Guards against a target that starts again under an id that it had.
TEST_CASE_METHOD(target_identity_fixture, "target_identity_id_that_comes_back_is_used_again")
{
    identity.refused("a");
    identity.learned("b");
    identity.refused("b");
    identity.learned("a");
    CHECK(identity.expected("b") == "a");
    CHECK(identity.expected("a") == "a");
}
