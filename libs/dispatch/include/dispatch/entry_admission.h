#pragma once

#include "dispatch/run_time.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace trefoil {

/// Tuning of entry_admission.
struct entry_admission_options {
    /// Mean `retry_after` of a request that is rejected at an admit level near 1. Longer than the
    /// queues of the called services take to drain.
    std::chrono::milliseconds min_retry_after{300};
    /// Added to the mean in proportion to (1 - level).
    std::chrono::milliseconds retry_after_range{1200};
    /// Jitter of `retry_after` as a fraction of its mean, in each direction.
    double jitter = 0.4;
    /// Deviations of the answer time that `retry_after` leaves for the answer within the latency
    /// objective, beyond the mean.
    double answer_deviations = 1.0;
    /// Weight of a new answer time in the exponentially smoothed one of its route.
    double answer_smoothing = 0.05;
};

/// A request at its entry node.
struct entering_request {
    std::uint32_t route = 0;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Time until its latency objective; 0 if it has passed or is not known.
    std::chrono::milliseconds objective_left{0};
};

/// Admission decision for one request.
struct entry_decision {
    bool admitted = true;
    /// Time after which the caller may retry; only set if not admitted.
    std::chrono::milliseconds retry_after{0};
};

/// Admission control at the entry node, where a request enters the call graph.
///
/// Load pattern: one request fans out into many calls to the deepest service, and the rejection of
/// one of them wastes the work of all others. Requests are therefore rejected here, before any work
/// is done, according to the lowest admit level of the services that they reach. Admission is
/// deterministic: with an admit fraction of 0.1 every tenth request of a route is admitted, because
/// random admission would add to the burstiness of the callers. Retry times have jitter so that the
/// callers of a burst do not retry at the same time, and end early enough for an answer within the
/// latency objective: overload lasts for longer than that, so that a later return is not more
/// likely to be admitted, only late.
class entry_admission {
public:
    explicit entry_admission(entry_admission_options options = {}) : options_(options) {}

    /// Decides whether a request is admitted. `level` is the lowest admit level of the services
    /// that requests of its route reach, `random` a uniformly distributed number.
    entry_decision decide(const entering_request& request, double level, std::uint64_t random);

    /// The `retry_after` for a request that was admitted but could not be served, neither after
    /// waiting nor by retries on other targets.
    std::chrono::milliseconds retry_after(const entering_request& request, double level,
                                          std::uint64_t random) const;

    /// Records the time from the arrival of an admitted request to its answer.
    void record_answered(std::uint32_t route, std::chrono::duration<double> time);

private:
    /// Latest time to return with an answer within the objective; 0 if there is none.
    std::chrono::duration<double, std::milli> latest_return(const entering_request& request) const;

    entry_admission_options options_;
    /// By route: sum of the admit fractions of its requests so far, minus the number admitted.
    std::unordered_map<std::uint32_t, double> credits_;
    std::unordered_map<std::uint32_t, run_time> answer_times_;
};

} // namespace trefoil
