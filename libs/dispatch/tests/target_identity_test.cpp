#include "dispatch/target_identity.h"

#include <catch2/catch.hpp>

namespace {

struct target_identity_fixture {
    trefoil::target_identity identity;
};

} // namespace

// Guards against rejecting requests for as long as the store holds an earlier id.
TEST_CASE_METHOD(target_identity_fixture, "target_identity_refused_id_is_replaced_by_learned_id")
{
    CHECK(identity.expected("old") == "old");
    identity.record_rejected("old");
    CHECK(identity.expected("old") == "old");
    identity.record_id("new");
    CHECK(identity.expected("old") == "new");
}

// Guards against replacing a newer id, which other nodes read from the store, by an older learned
// one.
TEST_CASE_METHOD(target_identity_fixture, "target_identity_id_that_was_not_refused_is_kept")
{
    identity.record_rejected("old");
    identity.record_id("new");
    CHECK(identity.expected("newer") == "newer");
    identity.record_rejected("new");
    CHECK(identity.expected("old") == "old");
    identity.record_id("newer");
    CHECK(identity.expected("old") == "newer");
    CHECK(identity.expected("new") == "newer");
}

// Guards against treating an id as outdated when the target uses it again after a restart.
TEST_CASE_METHOD(target_identity_fixture, "target_identity_refused_id_learned_again_is_used")
{
    identity.record_rejected("a");
    identity.record_id("b");
    identity.record_rejected("b");
    identity.record_id("a");
    CHECK(identity.expected("b") == "a");
    CHECK(identity.expected("a") == "a");
}
