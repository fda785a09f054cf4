#pragma once

#include "membership/member_view.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace trefoil {

/// The evidence about one target's health, and the suspicion drawn from it.
class target_health {
public:
    /// `seed` differs between pairs of node and target, and spreads the trials.
    explicit target_health(std::uint64_t seed) : seed_(seed) {}

    void succeeded(mono_time now);
    void failed(membership_reason reason, mono_time now, const member_view_options& options);

    /// Whether a peer suspects the target, as its latest report says.
    void reported(const vm_name& peer, bool suspected, mono_time now);

    /// Drops failures and reports gathered so far but keeps the suspicion drawn from own calls, for
    /// which a trial becomes due at once.
    void discard_evidence(mono_time now);

    /// Draws the suspicion from the evidence. Without `may_suspect` it is only withdrawn. True if
    /// it changed.
    bool evaluate(mono_time now, bool may_suspect, const member_view_options& options);

    bool suspected() const noexcept { return suspected_; }
    membership_reason reason() const noexcept { return reason_; }
    /// Suspected because of own calls, which is what peers are told.
    bool own_suspected() const noexcept { return own_suspected_; }
    /// The latest own call failed.
    bool failing() const noexcept { return failures_ > 0; }
    /// When the present series of failures began; only while failing.
    mono_time failing_since() const noexcept { return failing_since_; }
    /// When the latest own call ended; mono_time::min() if there was none.
    mono_time last_result() const noexcept { return last_result_; }

    /// When the next trial is due; only while suspected.
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
