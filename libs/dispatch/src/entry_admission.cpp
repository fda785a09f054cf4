#include "dispatch/entry_admission.h"

#include "base/hash.h"
#include "dispatch/admit_level.h"

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

entry_decision entry_admission::decide(std::uint32_t route, double level, std::uint32_t rank,
                                       std::uint64_t random)
{
    // A random initial credit keeps the nodes from admitting in lockstep.
    auto& credit = credits_.try_emplace(route, fraction_of(mix64(random))).first->second;
    credit += admit_level::share_of_rank(level, rank);
    if (credit >= 1.0) {
        credit -= 1.0;
        return {};
    }
    return {false, retry_after(level, random)};
}

std::chrono::milliseconds entry_admission::retry_after(double level, std::uint64_t random) const
{
    const std::chrono::duration<double, std::milli> mean =
        options_.min_retry_after + options_.retry_after_range * (1.0 - level);
    const double factor = 1.0 + options_.jitter * (2.0 * fraction_of(mix64(random + 1)) - 1.0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(mean * factor);
}

} // namespace trefoil
