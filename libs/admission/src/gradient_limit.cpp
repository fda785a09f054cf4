#include "admission/gradient_limit.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

gradient_limit::gradient_limit(std::uint32_t slots, gradient_options options) : options_(options)
{
    restart(slots);
}

void gradient_limit::restart(std::uint32_t slots)
{
    const auto options = options_;
    *this = gradient_limit(options);
    slots_ = slots;
    limit_ = options_.bounds.clamp(slots, slots);
}

void gradient_limit::observe(const limit_sample& sample)
{
    if (sample.result == completion_result::failed) {
        return;
    }
    ++samples_;
    limit_reached_ = limit_reached_ || sample.limit_reached;
    if (sample.result == completion_result::shed) {
        ++shed_;
    }
    else {
        duration_sum_ += sample.duration;
        baseline_sum_ += sample.baseline;
    }
    if (static_cast<double>(samples_) >= std::max(10.0, options_.update_window * limit_)) {
        step();
    }
}

void gradient_limit::step()
{
    const auto duration = static_cast<double>(duration_sum_.count());
    const auto baseline = static_cast<double>(baseline_sum_.count());
    double gradient =
        duration > 0.0 ? std::clamp(options_.tolerance * baseline / duration, 0.5, 1.0) : 1.0;
    gradient *= 1.0 - static_cast<double>(shed_) / static_cast<double>(samples_);
    // If the limit was not reached, the measured latency does not justify a higher limit.
    const double headroom = limit_reached_ ? std::sqrt(limit_) : 0.0;
    const double target = limit_ * gradient + headroom;
    double next = limit_ + options_.smoothing * (target - limit_);
    if (shed_ == 0) {
        next = options_.bounds.clamp_decrease(next, limit_, slots_);
    }
    limit_ = options_.bounds.clamp(next, slots_);
    duration_sum_ = baseline_sum_ = std::chrono::nanoseconds{0};
    samples_ = shed_ = 0;
    limit_reached_ = false;
}

} // namespace trefoil
