#pragma once

#include "admission/policy_index.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace trefoil {

/// Learned slot time of each (kind, group).
class flow_costs {
public:
    flow_costs(std::size_t kinds, std::size_t groups, std::chrono::nanoseconds initial);

    void observe(kind_index kind, group_index group, std::chrono::nanoseconds duration);

    /// Recent mean slot time of the flow.
    std::chrono::nanoseconds mean(kind_index kind, group_index group) const
    {
        return at(kind, group).mean;
    }

    /// Slot time of the flow without queueing in the upstream: the smallest mean over a block of
    /// completions, of the last few blocks. Means are used since single durations vary widely.
    std::chrono::nanoseconds baseline(kind_index kind, group_index group) const;

    /// Recent mean slot time over all flows.
    std::chrono::nanoseconds overall_mean() const noexcept { return overall_mean_; }

    /// Takes over what `other` learned of a flow.
    void adopt(kind_index kind, group_index group, const flow_costs& other, kind_index other_kind,
               group_index other_group);
    void adopt_overall(const flow_costs& other) { overall_mean_ = other.overall_mean_; }

private:
    struct flow {
        std::chrono::nanoseconds mean{0};
        /// Means of completed blocks, newest last.
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
