#pragma once

#include "base/time.h"

#include <chrono>

namespace trefoil {

/// Sum of used slot time with exponential decay.
class decayed_usage {
public:
    /// The sum decays by the factor 1/e in each `time_constant`.
    explicit decayed_usage(std::chrono::nanoseconds time_constant) : time_constant_(time_constant)
    {
    }

    /// Adds slot time used at `now`.
    void add(std::chrono::nanoseconds used, mono_time now);

    /// The decayed sum at `now`, in nanoseconds.
    double at(mono_time now) const;

private:
    std::chrono::nanoseconds time_constant_;
    double sum_ = 0.0;
    mono_time last_{};
};

} // namespace trefoil
