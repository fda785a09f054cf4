#pragma once

#include "admission/work_item.h"

#include <functional>
#include <memory>
#include <vector>

namespace trefoil::experiment {

/// Admit fraction of one service for the flow (kind and group) of a call; part of an answer.
struct service_fraction {
    std::size_t service = 0;
    double fraction = 1.0;
};

/// Answer to one call.
struct answer {
    bool ok = false;
    /// Admit fractions of the services on the path; empty without control.
    std::vector<service_fraction> fractions;
    /// Delay before a retry; positive only if admission control rejected the call.
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

    state current = state::at_node;
    admission_ticket ticket;
    /// Times at which the call was sent to the upstream and at which its work started.
    mono_time sent_to_upstream;
    mono_time work_started;
    /// The downstream call that this one waits for. Weak, since the child's on_answer owns this
    /// call.
    std::weak_ptr<call> child;
    std::uint32_t child_retries = 0;
    answer result;
    /// Work that this call and its downstream calls consumed.
    std::chrono::nanoseconds work_done{0};
};

using call_ptr = std::shared_ptr<call>;

} // namespace trefoil::experiment
