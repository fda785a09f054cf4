#include "dispatch/retry_limiter.h"

#include <algorithm>

namespace trefoil {

void retry_limiter::advance_to(mono_time now)
{
    const auto length = options_.window / static_cast<int>(intervals_per_window);
    const std::int64_t number = now.time_since_epoch() / length;
    const auto first_new =
        std::max(current_ + 1, number + 1 - static_cast<std::int64_t>(kept_intervals));
    for (auto n = first_new; n <= number; ++n) {
        intervals_.at(static_cast<std::size_t>(n) % kept_intervals) = {};
    }
    current_ = std::max(current_, number);
}

void retry_limiter::record_request(mono_time now)
{
    advance_to(now);
    ++intervals_.at(static_cast<std::size_t>(current_) % kept_intervals).requests;
}

void retry_limiter::record_retry(mono_time now)
{
    advance_to(now);
    ++intervals_.at(static_cast<std::size_t>(current_) % kept_intervals).retries;
}

double retry_limiter::most_requests(const sums& requests, std::size_t future)
{
    constexpr auto window = intervals_per_window;
    const auto past = window - future;
    const auto in_window = requests.at(past);
    const auto in_window_before = requests.at(past + window) - requests.at(past);
    const auto half = window / 2;
    const auto half_end = future < half ? half - future : 0;
    const auto in_half_before = requests.at(past + half) - requests.at(half_end);
    return std::max({in_window, in_window_before, in_half_before});
}

bool retry_limiter::fits(double reserved_share) const
{
    sums requests{};
    sums retries{};
    for (std::size_t n = 0; n < kept_intervals; ++n) {
        const auto& i = intervals_.at((static_cast<std::size_t>(current_) + kept_intervals - n) %
                                      kept_intervals);
        requests.at(n + 1) = requests.at(n) + i.requests;
        retries.at(n + 1) = retries.at(n) + i.retries;
    }
    const auto ratio =
        options_.ratio * (makes_calls_ ? options_.caller_share : options_.leaf_share);
    const auto is_within = [&](double used, double limit) {
        return used + 1.0 <= std::max(options_.min_retries, limit * (1.0 - reserved_share));
    };
    double largest_limit = 0.0;
    for (std::size_t future = 0; future < intervals_per_window; ++future) {
        const auto limit = ratio * most_requests(requests, future);
        largest_limit = std::max(largest_limit, limit);
        if (!is_within(retries.at(intervals_per_window - future), limit)) {
            return false;
        }
    }
    return is_within(retries.at(intervals_per_burst), largest_limit * options_.burst_share);
}

bool retry_limiter::take(double reserved_share, mono_time now)
{
    advance_to(now);
    if (!fits(reserved_share)) {
        return false;
    }
    record_retry(now);
    return true;
}

} // namespace trefoil
