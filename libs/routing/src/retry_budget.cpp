#include "routing/retry_budget.h"

#include <algorithm>

namespace trefoil {

retry_budget::retry_budget(retry_budget_options options) noexcept
    : options_(options), hundredths_(options.burst * 100)
{
}

void retry_budget::first_attempt() noexcept
{
    hundredths_ = std::min(hundredths_ + options_.percent, options_.burst * 100);
}

bool retry_budget::spend_retry() noexcept
{
    if (hundredths_ < 100) {
        return false;
    }
    hundredths_ -= 100;
    return true;
}

} // namespace trefoil
