#include "dispatch/slot_limiter.h"

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Number of samples over which the usual time of a route is averaged. It changes little within a
/// trial, so that it does not hide the difference that the trial measures.
constexpr double averaged_samples = 10.0;

} // namespace

slot_limiter::slot_limiter(std::uint32_t slots, slot_limiter_options options)
    : options_(options), slots_(slots), best_(slots), limit_(slots), rest_(options.min_rest)
{
}

void slot_limiter::set_slots(std::uint32_t slots)
{
    if (slots != slots_) {
        *this = slot_limiter(slots, options_);
    }
}

std::uint32_t slot_limiter::in_slots(double share) const
{
    return static_cast<std::uint32_t>(std::ceil(share * slots_));
}

void slot_limiter::record_started(std::uint64_t ticket, std::uint32_t running, mono_time now)
{
    if (phase_ != phase::rest && now - phase_start_ > options_.max_trial) {
        begin_sample(phase::rest, best_, now);
    }
    if (running < limit_) {
        return;
    }
    if (settling_ > 0) {
        --settling_;
        return;
    }
    started_[ticket] = {sample_, now};
}

void slot_limiter::record_answered(std::uint64_t ticket, std::uint32_t route, mono_time now)
{
    const auto run = started_.extract(ticket);
    if (!run) {
        return;
    }
    const std::chrono::duration<double> time = now - run.mapped().since;
    const auto usual = record_usual(route, time);
    if (run.mapped().sample != sample_ || usual.count() == 0.0) {
        return;
    }
    sum_ += time / usual;
    ++count_;
    if (count_ >= sample_size()) {
        end_sample(now);
    }
}

std::chrono::duration<double> slot_limiter::record_usual(std::uint32_t route,
                                                         std::chrono::duration<double> time)
{
    auto& usual = usual_times_[route];
    ++usual.runs;
    const auto weight = std::max(1.0 / usual.runs, 1.0 / (averaged_samples * sample_size()));
    usual.mean += weight * (time - usual.mean);
    return usual.mean;
}

void slot_limiter::begin_sample(phase next, std::uint32_t limit, mono_time now)
{
    if (phase_ != next) {
        phase_start_ = now;
    }
    settling_ = limit == limit_ ? 0 : limit;
    phase_ = next;
    limit_ = limit;
    ++sample_;
    sum_ = 0.0;
    count_ = 0;
}

void slot_limiter::end_sample(mono_time now)
{
    const auto relative_time = sum_ / count_;
    switch (phase_) {
    case phase::rest:
        if (++rested_ < rest_) {
            begin_sample(phase::rest, best_, now);
            return;
        }
        time_before_ = relative_time;
        begin_sample(phase::trial, next_candidate(), now);
        return;
    case phase::trial:
        time_in_trial_ = relative_time;
        begin_sample(phase::after_trial, best_, now);
        return;
    case phase::after_trial:
        end_trial(relative_time);
        begin_sample(phase::rest, best_, now);
        return;
    }
}

std::uint32_t slot_limiter::next_candidate() const
{
    if (raises_next_) {
        return std::min(slots_, best_ + in_slots(options_.raise_step));
    }
    const auto lowest = std::max(1U, in_slots(options_.min_share));
    const auto step = in_slots(options_.lower_step) * lower_steps_;
    return best_ > lowest + step ? best_ - step : lowest;
}

void slot_limiter::end_trial(double relative_time_after)
{
    const auto candidate = next_candidate();
    last_gain_ = (candidate * (time_before_ + relative_time_after) / 2.0) /
                 (best_ * std::max(time_in_trial_, 1e-9));
    const bool is_better = last_gain_ > (raises_next_ ? 1.0 : options_.min_gain);
    rested_ = 0;
    if (is_better) {
        best_ = candidate;
        lower_steps_ = 1;
        rest_ = options_.min_rest;
    }
    else {
        rest_ = std::min(2 * rest_, options_.max_rest);
        if (!raises_next_) {
            lower_steps_ = lower_steps_ % options_.max_lower_steps + 1;
        }
    }
    raises_next_ = best_ < slots_ && !raises_next_;
}

} // namespace trefoil
