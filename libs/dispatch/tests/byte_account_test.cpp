#include "dispatch/byte_account.h"

#include <catch2/catch.hpp>

namespace {

struct byte_account_fixture {
    trefoil::byte_account account{100};
};

} // namespace

// Guards against many holders that are each within their bound but together exhaust the memory.
TEST_CASE_METHOD(byte_account_fixture, "byte_account_over_the_bound_selects_largest_holder")
{
    account.set(1, 30);
    account.set(2, 50);
    account.set(3, 20);
    CHECK_FALSE(account.holder_to_close());
    account.set(3, 21);
    CHECK(account.holder_to_close() == 2);
    account.set(2, 0);
    CHECK_FALSE(account.holder_to_close());
    CHECK(account.total() == 51);
}

// Guards against counting a holder twice, or after it was removed.
TEST_CASE_METHOD(byte_account_fixture, "byte_account_changed_or_removed_holder_is_counted_once")
{
    account.set(1, 60);
    account.set(1, 70);
    account.set(2, 0);
    CHECK(account.total() == 70);
    account.set(1, 0);
    account.set(1, 0);
    CHECK(account.total() == 0);
}

// Guards against closing accepted work to make room for later arrivals.
TEST_CASE_METHOD(byte_account_fixture,
                 "byte_account_holder_that_may_not_be_closed_is_never_selected")
{
    account.set(1, 90, trefoil::byte_account::closing::never);
    account.set(2, 20);
    CHECK(account.holder_to_close() == 2);
    account.set(2, 0);
    account.set(1, 200, trefoil::byte_account::closing::never);
    CHECK_FALSE(account.holder_to_close());
    account.set_max_total(200);
    account.set(3, 1);
    CHECK(account.holder_to_close() == 3);
}
