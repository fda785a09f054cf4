#include "admission/queue_delay_limit.h"

namespace trefoil {

queue_delay_limit::queue_delay_limit(std::uint32_t slots, queue_delay_options options)
    : options_(options)
{
    restart(slots);
}

void queue_delay_limit::restart(std::uint32_t slots)
{
    slots_ = slots;
    limit_ = options_.bounds.clamp(slots, slots);
    excess_sum_ = std::chrono::nanoseconds{0};
    samples_ = 0;
    shed_ = limit_reached_ = false;
}

void queue_delay_limit::observe(const limit_sample& sample)
{
    if (sample.result == completion_result::failed) {
        return;
    }
    limit_reached_ = limit_reached_ || sample.limit_reached;
    if (sample.result == completion_result::shed) {
        shed_ = true;
    }
    else {
        excess_sum_ += sample.duration - sample.baseline;
        ++samples_;
    }
    if (sample.now < interval_end_) {
        return;
    }
    if (shed_ || (samples_ > 0 && excess_sum_ / samples_ > options_.target)) {
        const double lower = limit_ * options_.decrease;
        limit_ = shed_ ? lower : options_.bounds.clamp_decrease(lower, limit_, slots_);
    }
    else if (limit_reached_) {
        limit_ += 1.0;
    }
    limit_ = options_.bounds.clamp(limit_, slots_);
    interval_end_ = sample.now + options_.interval;
    excess_sum_ = std::chrono::nanoseconds{0};
    samples_ = 0;
    shed_ = limit_reached_ = false;
}

} // namespace trefoil
