#pragma once

#include "base/names.h"
#include "routing/target_candidate.h"

#include <cstdint>
#include <optional>
#include <span>

namespace trefoil {

/// How a target came to be chosen.
enum class selection_mode : std::uint8_t {
    own_zone,   ///< Healthy, in the caller's availability zone.
    other_zone, ///< Healthy, in another zone: none in the own zone, or the own zone is overloaded.
    trial,      ///< Suspected; the call shows whether it recovered.
    panic,      ///< Fewer than half of the targets look healthy, so that health is ignored.
};

/// Whether a call may serve as the trial of a suspected target. Work that cannot be sent again
/// after an unknown outcome must not.
enum class trial_policy : std::uint8_t { forbidden, allowed };

struct target_choice {
    /// Points into the candidates that were given.
    const target_candidate* target = nullptr;
    selection_mode mode = selection_mode::own_zone;
};

struct target_selector_options {
    /// Calls in flight to a target of the own zone up to which the own zone counts as not
    /// overloaded. At the design scale a node has about two calls in flight in all.
    std::uint32_t zone_in_flight = 4;
    /// Beyond `zone_in_flight`, a target of the own zone keeps the call while its load is at most
    /// this many times that of one in another zone. Makes up for the way between zones.
    double zone_preference = 2.0;
};

/// Chooses the target of a call that is not once-only. Holds no state beyond its options.
class target_selector {
public:
    explicit target_selector(target_selector_options options = {}) : options_(options) {}

    /// Chooses by the power of two choices: of two random targets the one with less load, which is
    /// the number of calls in flight times the latency. None if every target is excluded, leaving
    /// or (outside panic routing) suspected. `excluded` holds the VMs that this call already tried;
    /// `random` is a uniformly distributed number.
    std::optional<target_choice> pick(std::span<const target_candidate> candidates,
                                      const availability_zone_name& own_zone,
                                      std::span<const vm_name> excluded, std::uint64_t random,
                                      trial_policy trials = trial_policy::allowed) const;

private:
    target_selector_options options_;
};

} // namespace trefoil
