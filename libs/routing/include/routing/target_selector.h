#pragma once

#include "base/names.h"
#include "routing/target_candidate.h"

#include <cstdint>
#include <optional>
#include <span>

namespace trefoil {

/// Reason for the selection of a target.
enum class selection_mode : std::uint8_t {
    own_zone,   ///< Healthy, in the caller's availability zone.
    other_zone, ///< Healthy, in another zone, as the own zone has no target or is overloaded.
    trial,      ///< Suspected; the call shows whether the target has recovered.
    panic,      ///< Health is ignored, as fewer than half of the targets are healthy.
};

/// Whether a call may be used as the trial of a suspected target. Must be `forbidden` for work that
/// cannot be sent again after an unknown outcome.
enum class trial_policy : std::uint8_t { forbidden, allowed };

/// A selected target and the reason for its selection.
struct target_choice {
    /// Points to an element of the candidates passed to `pick`.
    const target_candidate* target = nullptr;
    selection_mode mode = selection_mode::own_zone;
};

/// Tuning parameters of target_selector.
struct target_selector_options {
    /// A target of the own zone with fewer calls in flight than this is selected without a
    /// comparison with other zones. At the design scale, a node has about two calls in flight in
    /// total.
    std::uint32_t max_own_zone_in_flight = 4;
    /// From `max_own_zone_in_flight` on, a target of the own zone is still selected if its load is
    /// at most this multiple of the load of a target in another zone. Accounts for the network
    /// latency between zones.
    double max_zone_load_ratio = 2.0;
};

/// Selects the target of a call that is not once-only. Stateless apart from its options.
class target_selector {
public:
    explicit target_selector(target_selector_options options = {}) : options_(options) {}

    /// Selects by the power of two random choices: of two random targets, the one with the lower
    /// load, where load is the number of calls in flight times the latency. None if every target is
    /// excluded, leaving or (outside panic routing) suspected and not selected for a trial.
    /// `excluded` lists the VMs to which this call was already sent. `random` is a uniformly
    /// distributed number that determines the random choices.
    std::optional<target_choice> pick(std::span<const target_candidate> candidates,
                                      const availability_zone_name& own_zone,
                                      std::span<const vm_name> excluded, std::uint64_t random,
                                      trial_policy trials = trial_policy::allowed) const;

private:
    target_selector_options options_;
};

} // namespace trefoil
