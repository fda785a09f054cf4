#pragma once

#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cstdint>

namespace trefoil {

/// Constant limit equal to the configured slots, at least 1.
class static_limit {
public:
    explicit static_limit(std::uint32_t slots) { restart(slots); }

    void observe(const limit_sample&) noexcept {}
    void restart(std::uint32_t slots) noexcept { slots_ = std::max(1U, slots); }
    std::uint32_t current() const noexcept { return slots_; }

private:
    std::uint32_t slots_ = 1;
};

static_assert(concurrency_limit<static_limit>);

} // namespace trefoil
