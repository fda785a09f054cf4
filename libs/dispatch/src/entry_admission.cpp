#include "dispatch/entry_admission.h"

#include "base/hash.h"
#include "dispatch/admit_level.h"

#include <algorithm>

namespace trefoil {

namespace {

/// Maps a uniformly distributed 64-bit number to [0, 1).
double fraction_of(std::uint64_t random)
{
    constexpr double range =
        9007199254740992.0; // 2^53: a double represents integers up to this exactly
    return static_cast<double>(random >> 11U) / range;
}

} // namespace

entry_decision entry_admission::decide(const entering_request& request, double level,
                                       std::uint64_t random)
{
    // A random initial credit keeps the nodes from admitting in lockstep.
    auto& credit = credits_.try_emplace(request.route, fraction_of(mix64(random))).first->second;
    credit += admit_level::share_of_rank(level, request.rank);
    if (credit >= 1.0) {
        credit -= 1.0;
        return {};
    }
    return {false, retry_after(request, level, random)};
}

void entry_admission::record_answered(std::uint32_t route, std::chrono::duration<double> time)
{
    answer_times_[route].record(time, options_.answer_smoothing);
}

std::chrono::duration<double, std::milli>
entry_admission::latest_return(const entering_request& request) const
{
    const auto known = answer_times_.find(request.route);
    if (known == answer_times_.end()) {
        return {};
    }
    const auto& answer = known->second;
    const std::chrono::duration<double, std::milli> left =
        request.objective_left - answer.mean - options_.answer_deviations * answer.deviation;
    return std::max(left, {});
}

std::chrono::milliseconds entry_admission::retry_after(const entering_request& request,
                                                       double level, std::uint64_t random) const
{
    std::chrono::duration<double, std::milli> mean =
        options_.min_retry_after + options_.retry_after_range * (1.0 - level);
    const auto latest = latest_return(request) / (1.0 + options_.jitter);
    if (latest >= options_.min_retry_after) {
        mean = std::min(mean, latest);
    }
    const double factor = 1.0 + options_.jitter * (2.0 * fraction_of(mix64(random + 1)) - 1.0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(mean * factor);
}

} // namespace trefoil
