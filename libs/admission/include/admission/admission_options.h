#pragma once

#include "admission/admit_fractions.h"

#include <chrono>
#include <cstddef>

namespace trefoil {

/// Tuning of an admission controller that does not depend on the configuration objects.
struct admission_options {
    /// Waiting requests for each configured slot, so a full queue waits about three service times.
    /// Flows that offer 90% of their share during a flood of another lose up to 5% of their work
    /// with 1, up to 2% with 2 and at most 1% with 3.
    double queue_per_slot = 3.0;
    /// Smallest bound of the queue, so that targets with few slots can still order their work.
    std::size_t min_queue = 8;
    /// Longest wait. Work that a more urgent flood keeps waiting is refused after it, so that its
    /// caller hears in time.
    std::chrono::milliseconds max_wait{250};
    /// Memory of the use by which ranks are compared with their shares.
    std::chrono::milliseconds share_window{500};
    /// Slot time assumed for a flow that has not completed any work.
    std::chrono::milliseconds initial_slot_time{20};
    /// After set_cold the limit grows from this part of itself to the whole.
    double cold_start_fraction = 0.1;
    /// Duration of that growth.
    std::chrono::milliseconds cold_ramp{5000};
    /// Retry-after of a flow that is admitted nearly always; grows as its admit fraction falls.
    std::chrono::milliseconds min_retry_after{200};
    std::chrono::milliseconds max_retry_after{2000};
    admit_fraction_options fractions;
};

} // namespace trefoil
