#include "admission/decayed_usage.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

void decayed_usage::add(std::chrono::nanoseconds used, mono_time now)
{
    sum_ = at(now) + static_cast<double>(used.count());
    last_ = std::max(last_, now);
}

double decayed_usage::at(mono_time now) const
{
    if (now <= last_ || sum_ == 0.0) {
        return sum_;
    }
    const auto elapsed = static_cast<double>((now - last_).count());
    return sum_ * std::exp(-elapsed / static_cast<double>(time_constant_.count()));
}

} // namespace trefoil
