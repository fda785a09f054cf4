#pragma once

#include "admission/admit_fractions.h"

#include <chrono>
#include <cstddef>

namespace trefoil {

/// Tuning parameters of an admission controller that are independent of the configuration objects.
struct admission_options {
    /// Queue bound per configured slot. With 3, a request at the end of a full queue waits about
    /// three service times. While another flow floods the target, flows that offer 90% of their
    /// share lose up to 5% of their work with 1, up to 2% with 2 and at most 1% with 3.
    double queue_per_slot = 3.0;
    /// Minimum queue bound, so that targets with few slots can still order work by priority.
    std::size_t min_queue = 8;
    /// Maximum time in the queue. Work that waits longer, for example behind a flood of more urgent
    /// work, is refused so that its caller receives the answer early enough to react.
    std::chrono::milliseconds max_wait{250};
    /// Time constant of the decaying slot usage that is compared with the shares of the ranks.
    std::chrono::milliseconds share_window{500};
    /// Slot time assumed for a flow without completed work.
    std::chrono::milliseconds initial_slot_time{20};
    /// Fraction of the limit in effect immediately after start_cold_ramp.
    double cold_start_fraction = 0.1;
    /// Time after start_cold_ramp in which the effective limit rises linearly to the full limit.
    std::chrono::milliseconds cold_start_ramp{5000};
    /// Mean retry-after delay of a flow whose admit fraction is 1. It is divided by the admit
    /// fraction, up to `max_retry_after`.
    std::chrono::milliseconds min_retry_after{200};
    /// Upper bound of the mean retry-after delay. Jitter can exceed it by half.
    std::chrono::milliseconds max_retry_after{2000};
    admit_fraction_options fractions;
};

} // namespace trefoil
