#include "admission/flow_costs.h"

#include <algorithm>

namespace trefoil {

namespace {

/// Weight of a new duration in the exponentially weighted mean, which covers about the last 20
/// completions.
constexpr double mean_weight = 0.05;
/// Number of completions in a block. The minimum of 16 means of 128 exponentially distributed
/// durations is about 16% below the true mean. With blocks of 32 it is 31% below, which was
/// mistaken for queueing in the upstream.
constexpr std::uint32_t block_size = 128;
/// Number of blocks over which the baseline takes the minimum.
constexpr std::size_t blocks_kept = 16;

std::chrono::nanoseconds update_ewma(std::chrono::nanoseconds old, std::chrono::nanoseconds sample)
{
    const double next = static_cast<double>(old.count()) +
                        mean_weight * static_cast<double>((sample - old).count());
    return std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(next));
}

} // namespace

flow_costs::flow_costs(std::size_t kinds, std::size_t groups, std::chrono::nanoseconds initial)
    : groups_(groups), flows_(kinds * groups), overall_mean_(initial)
{
    for (auto& f : flows_) {
        f.mean = initial;
    }
}

void flow_costs::observe(kind_index kind, group_index group, std::chrono::nanoseconds duration)
{
    auto& f = flows_.at(kind.value * groups_ + group.value);
    const bool first = f.block_means.empty() && f.block_count == 0;
    f.mean = first ? duration : update_ewma(f.mean, duration);
    overall_mean_ = update_ewma(overall_mean_, duration);
    f.block_sum += duration;
    if (++f.block_count == block_size) {
        if (f.block_means.size() == blocks_kept) {
            f.block_means.erase(f.block_means.begin());
        }
        f.block_means.push_back(f.block_sum / block_size);
        f.block_sum = std::chrono::nanoseconds{0};
        f.block_count = 0;
    }
}

std::chrono::nanoseconds flow_costs::baseline(kind_index kind, group_index group) const
{
    const auto& f = at(kind, group);
    return f.block_means.empty() ? f.mean : *std::ranges::min_element(f.block_means);
}

void flow_costs::copy_flow(kind_index kind, group_index group, const flow_costs& other,
                           kind_index other_kind, group_index other_group)
{
    flows_.at(kind.value * groups_ + group.value) = other.at(other_kind, other_group);
}

} // namespace trefoil
