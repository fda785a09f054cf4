#pragma once

#include "base/names.h"
#include "base/time.h"
#include "dispatch/target_state.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace trefoil {

/// Tuning of placement.
struct placement_options {
    /// A target of another zone is taken only if its expected time is below this part of the best
    /// of the own zone: bytes between zones cost more than those inside one.
    double other_zone_part = 0.6;
    /// Expected time of the target on the own VM counts as this part, since it needs no network.
    double own_vm_part = 0.85;
    /// Weight of the load in the expected time, so that a fast target is not filled to its last
    /// slot while others idle.
    double load_weight = 1.0;
    /// Expected time grows by this much as the failure share goes from 0 to 1.
    double failure_weight = 8.0;
    /// A load report older than this says nothing; the target counts as half loaded.
    std::chrono::milliseconds load_lifetime{2000};
    /// Run time assumed while no target of the service reported one.
    std::chrono::milliseconds initial_hold{50};
    /// A target that just started is slower by about this factor.
    double warming_factor = 2.0;
    /// First time without requests after a target could not be reached; doubles each time.
    std::chrono::milliseconds first_suspension{250};
    std::chrono::milliseconds longest_suspension{2000};
    /// Weight of a new result in the failure share.
    double failure_smoothing = 0.1;
};

/// Where this node is.
struct own_place {
    availability_zone_name zone;
    std::string address;
};

/// Chooses the target of each request and keeps what answers show about targets.
///
/// Load pattern: targets of one service differ in speed and in load, and single ones turn slow,
/// fail part of their requests or vanish. The better of two random targets by expected time is
/// taken, so that a node with an old view of the load does not send everything to one target; the
/// own zone is left only when it is clearly slower.
class placement {
public:
    placement(own_place own, placement_options options = {})
        : own_(std::move(own)), options_(options)
    {
    }

    /// The target for a request, or null if none may be used. `tried` holds ids that the request
    /// was sent to before; `random` is a uniformly distributed number.
    std::shared_ptr<target_state> choose(std::span<const std::shared_ptr<target_state>> targets,
                                         std::span<const std::string> tried, std::uint64_t random,
                                         mono_time now) const;

    /// Expected time of one more request at the target, load and failures included.
    std::chrono::duration<double>
    expected_time(const target_state& t, std::chrono::milliseconds usual_hold, mono_time now) const;

    /// A request was sent to the target.
    void note_sent(target_state& t) const;
    /// A request is no longer in flight; `failed` if the target failed it without being full.
    void note_ended(target_state& t, bool failed) const;
    /// A load report arrived with an answer.
    void note_load(target_state& t, const target_load& load, mono_time now) const;
    /// The target or its VM could not be reached.
    void note_unreachable(target_state& t, mono_time now) const;
    /// The target answered.
    void note_reached(target_state& t) const;

private:
    bool is_usable(const target_state& t, std::span<const std::string> tried) const;
    std::shared_ptr<target_state>
    better_of_two(std::span<const std::shared_ptr<target_state>> candidates, std::uint64_t random,
                  std::chrono::milliseconds usual_hold, mono_time now) const;

    own_place own_;
    placement_options options_;
};

} // namespace trefoil
