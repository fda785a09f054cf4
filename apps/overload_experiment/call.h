#pragma once

#include "admission/work_item.h"

#include <functional>
#include <memory>
#include <vector>

namespace trefoil::experiment {

/// Admit fraction of one service for the flow of a call, as an answer carries it.
struct service_fraction {
    std::size_t service = 0;
    double fraction = 1.0;
};

/// Answer to one call.
struct answer {
    bool ok = false;
    /// Empty without control.
    std::vector<service_fraction> fractions;
    /// Positive if the call was refused with control.
    std::chrono::milliseconds retry_after{0};
};

/// One call to one service on behalf of a request.
struct call {
    enum class state { at_node, in_upstream_queue, working, calling, ended };

    std::size_t kind = 0;
    std::size_t group = 0;
    std::size_t hop = 0;
    double admit_point = 0.0;
    mono_time deadline;
    std::function<void(const answer&)> on_answer;

    state now = state::at_node;
    admission_ticket ticket;
    /// When it was handed to the upstream, and when its work began.
    mono_time handed_off;
    mono_time work_began;
    /// The call it waits for, which keeps this one alive through its on_answer.
    std::weak_ptr<call> child;
    std::uint32_t child_retries = 0;
    answer result;
    /// Work that this call and the calls below it consumed.
    std::chrono::nanoseconds work_done{0};
};

using call_ptr = std::shared_ptr<call>;

} // namespace trefoil::experiment
