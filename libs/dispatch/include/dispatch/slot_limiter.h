#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace trefoil {

/// Tuning of a slot_limiter.
struct slot_limiter_options {
    /// Lowest limit, as a fraction of the slots: targets slow down when they are nearly full.
    double min_share = 0.75;
    /// Steps by which a trial lowers and raises the limit, as a fraction of the slots. A step down
    /// has to pass the point where the slowdown begins; up to `max_lower_steps` are tried at once.
    double lower_step = 0.06;
    std::uint32_t max_lower_steps = 3;
    double raise_step = 0.03;
    /// Number of runs per slot whose times are averaged for one limit.
    std::uint32_t runs_per_slot = 4;
    /// Number of averages between two trials; doubled after each trial that changed nothing.
    std::uint32_t min_rest = 2;
    std::uint32_t max_rest = 64;
    /// Factor by which the throughput must be higher for the limit to be lowered. Above the random
    /// error of the averages, so that targets that do not slow down keep all slots.
    double min_gain = 1.05;
    /// A trial that lasts longer is abandoned, since its averages are no longer comparable.
    std::chrono::seconds max_trial{5};
};

/// Adaptive concurrency limit: the number of slots of a target to use at the same time.
///
/// Load pattern: demand fills all slots of a target that takes longer for each request when it is
/// nearly full, so that it serves more requests with a few slots unused. While all permitted slots
/// are occupied, the limit is changed for some runs from time to time, and the throughput is
/// compared with that of the runs before and after them. Only runs that started with all permitted
/// slots occupied count, so that neither calm times nor a target whose speed changes mislead it.
class slot_limiter {
public:
    explicit slot_limiter(std::uint32_t slots, slot_limiter_options options = {});

    /// Changes the number of slots; what was learned is discarded if it differs.
    void set_slots(std::uint32_t slots);

    /// Number of requests to run at the same time now.
    std::uint32_t limit() const noexcept { return limit_; }

    /// The best limit known, which a trial leaves for a while.
    std::uint32_t best_limit() const noexcept { return best_; }

    /// Throughput in the last trial, relative to that at the best limit before it.
    double last_gain() const noexcept { return last_gain_; }

    /// Records that a request started and that `running` requests, including it, now run.
    void record_started(std::uint64_t ticket, std::uint32_t running, mono_time now);

    /// Records the run time of a request that the target answered by itself, without calls to other
    /// services.
    void record_answered(std::uint64_t ticket, std::uint32_t route, mono_time now);

    /// Records that a started request ended in another way.
    void record_ended(std::uint64_t ticket) { started_.erase(ticket); }

private:
    enum class phase : std::uint8_t { rest, trial, after_trial };
    struct started_run {
        std::uint64_t sample = 0;
        mono_time since;
    };

    struct usual_time {
        std::chrono::duration<double> mean{0};
        double runs = 0.0;
    };

    std::uint32_t sample_size() const { return options_.runs_per_slot * slots_; }
    std::chrono::duration<double> record_usual(std::uint32_t route,
                                               std::chrono::duration<double> time);
    void begin_sample(phase next, std::uint32_t limit, mono_time now);
    void end_sample(mono_time now);
    void end_trial(double relative_time_after);
    std::uint32_t next_candidate() const;
    std::uint32_t in_slots(double share) const;

    slot_limiter_options options_;
    std::uint32_t slots_;
    std::uint32_t best_;
    std::uint32_t limit_;

    phase phase_ = phase::rest;
    mono_time phase_start_;
    /// Number of the current sample, which its runs carry.
    std::uint64_t sample_ = 0;
    /// Starts that are not counted yet because earlier runs started under another limit.
    std::uint32_t settling_ = 0;
    double sum_ = 0.0;
    std::uint32_t count_ = 0;

    std::uint32_t rested_ = 0;
    std::uint32_t rest_;
    std::uint32_t lower_steps_ = 1;
    bool raises_next_ = false;
    double time_before_ = 1.0;
    double time_in_trial_ = 1.0;
    double last_gain_ = 1.0;

    std::unordered_map<std::uint64_t, started_run> started_;
    /// Usual run time by route, which makes the times of different routes comparable.
    std::unordered_map<std::uint32_t, usual_time> usual_times_;
};

} // namespace trefoil
