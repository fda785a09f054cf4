#pragma once

#include "membership/member_view.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace trefoil {

/// Evidence about the health of one target, and whether it is suspected because of it.
class target_health {
public:
    /// `seed` must differ between pairs of node and target; it is used for the jitter of trials.
    explicit target_health(std::uint64_t seed) : seed_(seed) {}

    void succeeded(mono_time now);
    void failed(membership_reason reason, mono_time now, const member_view_options& options);

    /// Records whether a peer suspects the target according to its latest report.
    void reported(const vm_name& peer, bool suspected, mono_time now);

    /// Discards failures and reports, but keeps a suspicion caused by own calls, for which a trial
    /// becomes due at once.
    void discard_evidence(mono_time now);

    /// Updates the suspicion from the evidence. Unless `may_suspect` is set, it can only be
    /// withdrawn. Returns whether it changed.
    bool evaluate(mono_time now, bool may_suspect, const member_view_options& options);

    bool suspected() const noexcept { return suspected_; }
    membership_reason reason() const noexcept { return reason_; }
    /// Whether the target is suspected because of own calls. Only this is reported to peers.
    bool own_suspected() const noexcept { return own_suspected_; }
    /// Whether the latest own call failed.
    bool failing() const noexcept { return failures_ > 0; }
    /// Start of the present series of failures; only valid while failing.
    mono_time failing_since() const noexcept { return failing_since_; }
    /// End of the latest own call; mono_time::min() if there was none.
    mono_time last_result() const noexcept { return last_result_; }

    /// Time at which the next trial is due; only valid while suspected.
    mono_time next_trial() const noexcept { return next_trial_; }
    void trial_started(mono_time now, const member_view_options& options);

private:
    void schedule_trial(mono_time now);

    std::uint64_t seed_;
    std::uint32_t failures_ = 0;
    bool own_suspected_ = false;
    mono_time failing_since_;
    bool suspected_ = false;
    membership_reason reason_ = membership_reason::none;
    membership_reason own_reason_ = membership_reason::none;
    /// Times of the last own result and the last own success; min() if there was none.
    mono_time last_result_ = mono_time::min();
    mono_time last_success_ = mono_time::min();
    std::vector<std::pair<vm_name, mono_time>> reports_;
    mono_time next_trial_;
    std::chrono::nanoseconds trial_interval_{0};
    std::uint64_t trials_ = 0;
};

} // namespace trefoil
