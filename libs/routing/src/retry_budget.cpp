#include "routing/retry_budget.h"

#include <algorithm>

namespace trefoil {

retry_budget::retry_budget(retry_budget_options options) noexcept
    : options_(options), balance_hundredths_(options.burst * 100)
{
}

void retry_budget::first_attempt() noexcept
{
    balance_hundredths_ = std::min(balance_hundredths_ + options_.percent, options_.burst * 100);
}

bool retry_budget::consume_retry() noexcept
{
    if (balance_hundredths_ < 100) {
        return false;
    }
    balance_hundredths_ -= 100;
    return true;
}

} // namespace trefoil
