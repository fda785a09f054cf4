#pragma once

#include "base/time.h"

#include <chrono>

namespace trefoil {

/// Slot time used, where older use counts exponentially less.
class decayed_use {
public:
    explicit decayed_use(std::chrono::nanoseconds time_constant) : time_constant_(time_constant) {}

    void add(std::chrono::nanoseconds used, mono_time now);

    /// Decayed sum in nanoseconds.
    double at(mono_time now) const;

private:
    std::chrono::nanoseconds time_constant_;
    double sum_ = 0.0;
    mono_time last_{};
};

} // namespace trefoil
