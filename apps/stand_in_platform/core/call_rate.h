#pragma once

#include "base/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace trefoil {

/// Counts calls in windows of one second and refuses those beyond a limit. Not thread-safe.
class call_rate {
public:
    explicit call_rate(std::uint64_t largest) : largest_(largest) {}

    /// True: the call is within the limit.
    bool admit(mono_time now)
    {
        if (now - window_start_ >= std::chrono::seconds(1)) {
            window_start_ = now;
            count_ = 0;
        }
        ++count_;
        peak_ = std::max(peak_, count_);
        return count_ <= largest_;
    }

    /// Most calls in one window, refused ones included.
    std::uint64_t peak() const noexcept { return peak_; }

private:
    std::uint64_t largest_;
    mono_time window_start_{};
    std::uint64_t count_ = 0;
    std::uint64_t peak_ = 0;
};

} // namespace trefoil
