#pragma once

#include "admission/policy_index.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Measured slot time of each flow, a (kind, group) pair.
class flow_costs {
public:
    /// `initial` is the mean of flows without completed work.
    flow_costs(std::size_t kinds, std::size_t groups, std::chrono::nanoseconds initial);

    /// Records the slot time of one completed request.
    void observe(kind_index kind, group_index group, std::chrono::nanoseconds duration);

    /// Exponentially weighted mean slot time of the flow.
    std::chrono::nanoseconds mean(kind_index kind, group_index group) const
    {
        return at(kind, group).mean;
    }

    /// Estimated slot time of the flow without queueing in the upstream: the minimum of the means
    /// of the most recent blocks of completions, or the current mean before the first block is
    /// complete. Block means are used because individual durations vary widely.
    std::chrono::nanoseconds baseline(kind_index kind, group_index group) const;

    /// Exponentially weighted mean slot time of all flows.
    std::chrono::nanoseconds overall_mean() const noexcept { return overall_mean_; }

    /// Copies the measurements of the flow (`other_kind`, `other_group`) of `other`.
    void copy_flow(kind_index kind, group_index group, const flow_costs& other,
                   kind_index other_kind, group_index other_group);
    /// Copies the mean slot time of all flows from `other`.
    void copy_overall_mean(const flow_costs& other) { overall_mean_ = other.overall_mean_; }

private:
    struct flow {
        std::chrono::nanoseconds mean{0};
        /// Means of the most recent complete blocks, from oldest to newest.
        std::vector<std::chrono::nanoseconds> block_means;
        std::chrono::nanoseconds block_sum{0};
        std::uint32_t block_count = 0;
    };

    const flow& at(kind_index kind, group_index group) const
    {
        return flows_.at(kind.value * groups_ + group.value);
    }

    std::size_t groups_;
    std::vector<flow> flows_;
    std::chrono::nanoseconds overall_mean_;
};

} // namespace trefoil
