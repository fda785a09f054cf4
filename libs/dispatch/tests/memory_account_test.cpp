#include "dispatch/memory_account.h"
#include "dispatch/memory_relief.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <vector>

using namespace trefoil;

namespace {

struct memory_account_fixture {
    std::shared_ptr<memory_account> account = std::make_shared<memory_account>(100);
};

} // namespace

// Guards against bytes that are counted after their buffer is gone, or twice after a move.
TEST_CASE_METHOD(memory_account_fixture, "memory_account_lease_counts_for_its_lifetime")
{
    memory_lease first(account, 30);
    {
        memory_lease second(account, 50);
        CHECK(account->total() == 80);
        second.resize(90);
        CHECK(account->is_exceeded());
        memory_lease moved(std::move(second));
        CHECK(account->total() == 120);
        first = std::move(moved);
        CHECK(account->total() == 90);
    }
    CHECK(account->total() == 90);
    CHECK(account->has_room_for(10));
    CHECK_FALSE(account->has_room_for(11));
}

// Guards against a sum of requested bytes that overflows and seems to fit.
TEST_CASE_METHOD(memory_account_fixture, "memory_account_huge_request_does_not_fit")
{
    const memory_lease held(account, 40);
    CHECK_FALSE(account->has_room_for(static_cast<std::size_t>(-1)));
}

// Guards against giving up small holdings while large ones remain.
TEST_CASE("memory_relief_large_holdings_are_freed_first")
{
    CHECK(holdings_to_free({5, 40, 0, 30, 2}, 50) == std::vector<std::size_t>{1, 3});
    CHECK(holdings_to_free({5, 40, 0, 30, 2}, 0).empty());
    CHECK(holdings_to_free({5, 0}, 50) == std::vector<std::size_t>{0});
}

// Guards against freeing too little, or more than is needed.
TEST_CASE("memory_relief_any_holdings_free_just_enough")
{
    const bool holds = rc::check([] {
        const auto holdings =
            *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 1000));
        const auto excess = *rc::gen::inRange<std::size_t>(0, 20'000);
        const auto freed = holdings_to_free(holdings, excess);
        std::size_t sum = 0;
        for (const auto i : freed) {
            sum += holdings[i];
        }
        const auto total = std::accumulate(holdings.begin(), holdings.end(), std::size_t{0});
        const bool is_enough = sum >= std::min<std::size_t>(excess, total);
        const bool needs_last = freed.empty() || sum - holdings[freed.back()] < excess;
        RC_ASSERT(is_enough);
        RC_ASSERT(needs_last);
    });
    CHECK(holds);
}
