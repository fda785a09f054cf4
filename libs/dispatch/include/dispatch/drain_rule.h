#pragma once

#include "base/time.h"

#include <chrono>

namespace trefoil {

/// Decides which requests a node accepts between the signal to stop and the end of its process.
///
/// Load pattern: callers keep sending on open connections for seconds after the signal, and some
/// requests run for as long as their deadline allows. A request that is still running when the
/// process ends is cut without an answer, so only those are accepted whose deadline comes before.
class drain_rule {
public:
    /// `grace` is the time from the signal until the process is killed.
    drain_rule(mono_time start, std::chrono::milliseconds grace) : start_(start), grace_(grace) {}

    /// When the process ends at the latest.
    mono_time end() const { return start_ + grace_ - margin; }

    /// Whether a request that is answered by `deadline` ends before the process.
    bool can_finish(mono_time deadline) const { return deadline + answer_time <= end(); }

    /// Whether to accept a request of a caller. In the second half of the grace time callers are
    /// told to come back, as a restarted node serves them sooner than the rest of a drain.
    bool accepts(mono_time arrived, mono_time deadline) const
    {
        return arrived <= start_ + grace_ / 2 && can_finish(deadline);
    }

    /// Whether to accept a call of a request that the local target runs. Rejecting it would waste
    /// the work of that request.
    bool accepts_call(mono_time deadline) const { return can_finish(deadline); }

private:
    /// The process ends this long before it would be killed.
    static constexpr std::chrono::milliseconds margin{300};
    /// Time from the deadline of a request until its last answer is sent.
    static constexpr std::chrono::milliseconds answer_time{200};

    mono_time start_;
    std::chrono::milliseconds grace_;
};

} // namespace trefoil
