#include "admission/aimd_limit.h"

namespace trefoil {

namespace {

/// Weight of one completion in the exponentially weighted mean of the latency ratio.
constexpr double ratio_weight = 0.05;

} // namespace

aimd_limit::aimd_limit(std::uint32_t slots, aimd_options options) : options_(options)
{
    restart(slots);
}

void aimd_limit::restart(std::uint32_t slots)
{
    slots_ = slots;
    limit_ = options_.bounds.clamp(slots, slots);
    latency_ratio_ = 1.0;
    since_decrease_ = 0;
}

void aimd_limit::observe(const limit_sample& sample)
{
    if (sample.result == completion_result::failed) {
        return;
    }
    ++since_decrease_;
    const bool shed = sample.result == completion_result::shed;
    bool overloaded = shed;
    if (!shed && sample.baseline.count() > 0) {
        const double ratio = static_cast<double>(sample.duration.count()) /
                             static_cast<double>(sample.baseline.count());
        latency_ratio_ += ratio_weight * (ratio - latency_ratio_);
        overloaded = latency_ratio_ > options_.tolerance;
    }
    if (overloaded && since_decrease_ >= current()) {
        const double lower = limit_ * options_.decrease;
        limit_ = shed ? lower : options_.bounds.clamp_decrease(lower, limit_, slots_);
        since_decrease_ = 0;
    }
    else if (!overloaded && sample.limit_reached) {
        limit_ += 1.0 / limit_;
    }
    limit_ = options_.bounds.clamp(limit_, slots_);
}

} // namespace trefoil
